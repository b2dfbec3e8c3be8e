package berylentry

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to four times its live size before a collection. The scheduling node uses a small
	// part of its memory, and is at times short of processor time.
	gcPercent = 300
	// memoryLimitShare is the part of the allowed memory above which the heap is collected as often as necessary,
	// whatever gcPercent is.
	memoryLimitShare = 0.5
	// jobMemoryShare is the part of the allowed memory that accepted jobs may take. With what requests may take, it stays below
	// memoryLimitShare.
	jobMemoryShare = 1.0 / 6
	// defaultJobBytes applies without a limit of the memory.
	defaultJobBytes = 64 << 20
)

// jobBytes returns how many bytes accepted jobs may take within the given limit in MB, 0 for an unknown one.
func jobBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultJobBytes
	}
	return int64(jobMemoryShare * float64(memoryMB) * (1 << 20))
}

// tuneCollector makes the garbage collector use more memory and less processor time, within the given limit in MB. It
// does nothing without a limit, or if GOGC is set in the environment.
func tuneCollector(memoryMB int) {
	if os.Getenv("GOGC") != "" || memoryMB <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * (1 << 20)))
}
