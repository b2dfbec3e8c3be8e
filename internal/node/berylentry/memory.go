package berylentry

import (
	"os"
	"runtime/debug"
)

const (
	// collectPercent lets the heap grow to four times what is in use before a collection: the scheduling node is short of
	// processor time in bursts, and uses a small part of its memory.
	collectPercent = 300
	// memoryShare is the part of the machine's memory beyond which collections come as often as they must.
	memoryShare = 0.5
)

// tuneCollector trades memory for processor time, within the given limit in MB; a GOGC of the environment wins.
func tuneCollector(memoryMB int) {
	if os.Getenv("GOGC") != "" || memoryMB <= 0 {
		return
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * (1 << 20)))
}
