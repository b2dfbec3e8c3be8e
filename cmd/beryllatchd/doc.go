// Command beryllatchd is the entry daemon of beryllatch.
package main
