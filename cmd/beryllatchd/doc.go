// Command beryllatchd is the daemon that runs on each entry node of beryllatch. It serves callers, operators and peers,
// and sends work to the workers.
package main
