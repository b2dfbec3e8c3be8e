// Package beryloverload tests that hostile clients neither end a process of the system nor keep it from answering others. Its
// tests start the process, with lowered limits, and check its memory and its descriptors.
package beryloverload
