package berylprocess

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against processor times read from the wrong fields when a program's name holds spaces and parentheses.
func TestParseCPU(t *testing.T) {
	got, err := parseCPU([]byte("7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 120 30 0 0 20 0 1 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, got, 1500*time.Millisecond)
	_, err = parseCPU([]byte("7 (a) S 1"))
	assert.ErrorContains(t, err, "too few")
}
