package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// A worker lists 500 finished runs at a time. A task whose end is not among the first ones must not start again, neither after a takeover
// nor in the epoch that started it (TWICE).
func TestFinishedRunsComeInParts(t *testing.T) {
	t.Run("after a takeover", func(t *testing.T) {
		h, stored, start := usedWorkers(t, 1)
		next := h.takeOver(stored)
		next.apply(RegistryRead{Workers: workerInfos(1)})
		next.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {MoreFinished: true, Finished: []beryllatch.FinishedEntry{
			{Number: 1, Task: "0000000000000009.0.0.0", Run: 1, Outcome: beryllatch.RunDone},
		}}})
		next.storeInto(stored)
		next.tickFor(200 * time.Millisecond)
		assert.Equal(t, len(next.starts), 0)
		assert.Equal(t, len(next.holds), 1, "the rest is requested")
		assert.Equal(t, next.holds[0].Order.Acknowledge, int64(1))
		next.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Finished: []beryllatch.FinishedEntry{
			{Number: 2, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
		}}})
		next.storeInto(stored)
		next.tickFor(200 * time.Millisecond)
		assert.Equal(t, len(next.starts), 0)
	})
	t.Run("in the same epoch", func(t *testing.T) {
		h := newHarness(t)
		h.register("a")
		h.accept(singleTaskJob("0000000000000001"))
		h.confirmStarts()
		h.tickFor(time.Second)
		h.answerHolds(nil, "a")
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(map[string]beryllatch.WorkerLists{"a": {MoreFinished: true, Finished: []beryllatch.FinishedEntry{
			{Number: 1, Task: "0000000000000009.0.0.0", Run: 1, Outcome: beryllatch.RunDone},
		}}})
		h.tickFor(200 * time.Millisecond)
		assert.Equal(t, len(h.starts), 0)
	})
}
