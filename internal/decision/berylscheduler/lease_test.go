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
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.register("b")
	for range 70 {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(nil, "a")
		if len(h.starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(h.starts), 1, "the task starts again")
	assert.Equal(t, h.starts[0].Worker.ID, "b")
	assert.Assert(t, h.starts[0].Order.Run > starts[0].Order.Run)
}

// A worker that does not answer may still run its tasks until its leases have expired, so they must not start elsewhere before.
func TestSilentWorkerKeepsItsRunsUntilTheLeaseEnds(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.confirmStarts()
	h.register("b")
	granted := h.now
	for h.now.Sub(granted) < testLease {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(nil, "a")
		assert.Equal(t, len(h.starts), 0, "after %s", h.now.Sub(granted))
	}
}

// instancesOf returns the instances of workers, all of them up.
func instancesOf(ids ...string) []beryllatch.FleetInstance {
	var out []beryllatch.FleetInstance
	for _, id := range ids {
		out = append(out, beryllatch.FleetInstance{Name: "m-" + id, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: id})
	}
	return out
}

// If the list of instances shows that the instance of a worker that does not answer is down, its tasks start elsewhere without
// waiting for the lease.
func TestListedInstanceEndsASilentWorker(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	first := h.confirmStarts()[0]
	h.apply(InstancesListed{Instances: instancesOf("a", "b")})
	h.tickFor(500 * time.Millisecond)
	h.answerHolds(nil, "a", "b")
	h.tickFor(500 * time.Millisecond)
	list := instancesOf("a", "b")
	for n := range list {
		if list[n].Worker == first.Worker.ID {
			list[n].State = beryllatch.FleetInstanceDown
		}
	}
	h.answerHolds(nil, first.Worker.ID)
	h.apply(InstancesListed{Instances: list})
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker.ID != first.Worker.ID)
}

// While the store fails, tasks of jobs that are already stored must still start.
func TestStoredJobsGoOnWhileTheStoreFails(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count = 3
	j.Steps[0].Needs.CPUMilli = 10000
	h.accept(j)
	for n := range 3 {
		starts := h.confirmStarts()
		assert.Equal(t, len(starts), 1, "start %d: one task fits at a time", n)
		h.tickFor(time.Second)
		h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
			{Number: int64(n + 1), Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: beryllatch.RunDone},
		}}})
		assert.Equal(t, len(h.commits), 1, "one transaction at a time")
		h.failCommit(&beryllatch.UnknownOutcomeError{Err: context.DeadlineExceeded})
	}
}

// Guards against review/1: a worker that did not answer for longer than its lease was never asked again, and a job that only it
// could run stayed without a run.
func TestLostWorkerIsUsedAgainOnceItAnswers(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.confirmStarts()
	for end := h.now.Add(3 * testLease); h.now.Before(end); {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(nil, "a")
	}
	assert.Equal(t, len(h.starts), 0)
	h.tickFor(idleRetryPause)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1, "the task starts again on the worker that answers again")
}

// A worker without runs must be asked after a lost answer, or it would get no tasks for good.
func TestIdleWorkerIsAskedAfterALostAnswer(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.s.recordLostAnswer(h.s.workers["a"])
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.starts), 0)
	h.tickFor(100 * time.Millisecond)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
}
