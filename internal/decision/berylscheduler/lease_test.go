package berylscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
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

// The instance list tells that a silent worker's instance is down: its tasks need not wait for the lease.
func TestListedInstanceEndsASilentWorker(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	w.accept(oneTask("0000000000000001"))
	first := w.confirm()[0]
	w.pass(500 * time.Millisecond)
	w.answerHolds(nil, "a", "b")
	w.pass(500 * time.Millisecond)
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

// While the store fails, tasks of jobs that are stored go on to start.
func TestStoredJobsGoOnWhileTheStoreFails(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	j := oneTask("0000000000000001")
	j.Steps[0].Count = 3
	j.Steps[0].Needs.CPUMilli = 10000
	w.accept(j)
	for n := range 3 {
		starts := w.confirm()
		assert.Equal(t, len(starts), 1, "start %d: one task fits at a time", n)
		w.pass(time.Second)
		w.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
			{Number: int64(n + 1), Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: beryllatch.RunDone},
		}}})
		assert.Equal(t, len(w.commits), 1, "one transaction at a time")
		w.failCommit(&beryllatch.UnknownOutcomeError{Err: context.DeadlineExceeded})
	}
}
