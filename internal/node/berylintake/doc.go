// Package berylintake bounds the memory and the descriptors that a process spends on requests which are not yet answered:
// a budget of bytes and a limit of connections for all its listeners together.
package berylintake
