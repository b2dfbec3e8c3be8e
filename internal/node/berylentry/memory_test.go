package berylentry

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTuneCollector(t *testing.T) {
	percent := debug.SetGCPercent(100)
	limit := debug.SetMemoryLimit(math.MaxInt64)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	t.Setenv("GOGC", "")
	tuneCollector(0)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(math.MaxInt64), "a machine without a known limit is left alone")
	tuneCollector(184)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(92<<20))
	assert.Equal(t, debug.SetGCPercent(100), gcPercent)
	t.Setenv("GOGC", "50")
	tuneCollector(100)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(92<<20), "the environment wins")
}
