package berylscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// The tasks of a worker that never answers again must start elsewhere once its leases have expired.
func TestLostWorkerIsWrittenOff(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	w.accept(singleTaskJob("0000000000000001"))
	starts := w.confirmStarts()
	assert.Equal(t, len(starts), 1)
	w.register("b")
	for range 70 {
		w.tickFor(100 * time.Millisecond)
		w.answerHolds(nil, "a")
		if len(w.starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(w.starts), 1, "the task starts again")
	assert.Equal(t, w.starts[0].Worker.ID, "b")
	assert.Assert(t, w.starts[0].Order.Run > starts[0].Order.Run)
}

// A worker that does not answer may still run its tasks until its leases have expired, so they must not start elsewhere before.
func TestSilentWorkerKeepsItsRunsUntilTheLeaseEnds(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	w.accept(singleTaskJob("0000000000000001"))
	w.confirmStarts()
	w.register("b")
	granted := w.now
	for w.now.Sub(granted) < testLease {
		w.tickFor(100 * time.Millisecond)
		w.answerHolds(nil, "a")
		assert.Equal(t, len(w.starts), 0, "after %s", w.now.Sub(granted))
	}
}

// If the list of instances shows that the instance of an unanswering worker is down, its tasks start elsewhere without waiting
// for the lease.
func TestListedInstanceEndsASilentWorker(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b")
	w.accept(singleTaskJob("0000000000000001"))
	first := w.confirmStarts()[0]
	w.tickFor(500 * time.Millisecond)
	w.answerHolds(nil, "a", "b")
	w.tickFor(500 * time.Millisecond)
	var list []beryllatch.FleetInstance
	for _, id := range []string{"a", "b"} {
		i := beryllatch.FleetInstance{Name: "m-" + id, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: id}
		if id == first.Worker.ID {
			i.State = beryllatch.FleetInstanceDown
		}
		list = append(list, i)
	}
	w.answerHolds(nil, first.Worker.ID)
	w.apply(InstancesListed{Instances: list})
	assert.Equal(t, len(w.starts), 1)
	assert.Assert(t, w.starts[0].Worker.ID != first.Worker.ID)
}

// While the store fails, tasks of stored jobs must still start.
func TestStoredJobsGoOnWhileTheStoreFails(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count = 3
	j.Steps[0].Needs.CPUMilli = 10000
	w.accept(j)
	for n := range 3 {
		starts := w.confirmStarts()
		assert.Equal(t, len(starts), 1, "start %d: one task fits at a time", n)
		w.tickFor(time.Second)
		w.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
			{Number: int64(n + 1), Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: beryllatch.RunDone},
		}}})
		assert.Equal(t, len(w.commits), 1, "one transaction at a time")
		w.failCommit(&beryllatch.UnknownOutcomeError{Err: context.DeadlineExceeded})
	}
}
