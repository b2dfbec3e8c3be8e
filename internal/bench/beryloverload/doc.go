// Package beryloverload tests that hostile connections neither end an entry node nor keep it from answering other
// callers. Its tests start the node as a process of its own.
package beryloverload
