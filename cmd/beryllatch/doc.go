// Command beryllatch is the operators' command-line client of beryllatch.
package main
