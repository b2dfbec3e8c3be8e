// Command beryllatch is the operators' client.
package main
