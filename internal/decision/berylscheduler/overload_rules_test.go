package berylscheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against later occurrences of a repeated job that count as late when they become due, because an earlier submission was refused.
func TestTargetOfAnOccurrenceCountsFromItsDueTime(t *testing.T) {
	h := newHarness(t)
	j := singleTaskJob("0000000000000001")
	j.Repeat, j.First, j.Interval = 3, h.now.Add(time.Minute), time.Minute
	h.s.admission.remember(j.ID, h.now)
	h.accept(j)
	st := h.s.jobs[j.ID].step(stepKey{1, 0}, h.now)
	assert.Assert(t, h.s.timing(st).startBy.After(j.First.Add(j.Interval)))
}
