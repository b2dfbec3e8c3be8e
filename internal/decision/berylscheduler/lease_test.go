package berylscheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A worker that is lost for good never answers again: its tasks must start elsewhere once its leases have run out.
func TestLostWorkerIsWrittenOff(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	starts := w.confirm()
	assert.Equal(t, len(starts), 1)
	w.register("b")
	for range 70 {
		w.pass(100 * time.Millisecond)
		w.answerHolds(nil, "a")
		if len(w.starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(w.starts), 1, "the task starts again")
	assert.Equal(t, w.starts[0].Worker.ID, "b")
	assert.Assert(t, w.starts[0].Order.Run > starts[0].Order.Run)
}

// Until its leases have run out, a silent worker may still run its tasks.
func TestSilentWorkerKeepsItsRunsUntilTheLeaseEnds(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	w.confirm()
	w.register("b")
	granted := w.now
	for w.now.Sub(granted) < testLease {
		w.pass(100 * time.Millisecond)
		w.answerHolds(nil, "a")
		assert.Equal(t, len(w.starts), 0, "after %s", w.now.Sub(granted))
	}
}
