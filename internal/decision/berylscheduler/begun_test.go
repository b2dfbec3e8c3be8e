package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// assertBegun checks what callers are told of a job on its own in its queue.
func (h *harness) assertBegun(id string, begun bool) {
	h.t.Helper()
	state, known := h.s.JobState(id)
	assert.Assert(h.t, known)
	if begun {
		assert.Equal(h.t, state, beryllatch.JobRunning)
		assert.Equal(h.t, h.s.Pending("q"), 0)
	} else {
		assert.Equal(h.t, state, beryllatch.JobQueued)
		assert.Equal(h.t, h.s.Pending("q"), 1)
	}
}

// refuseStarts answers all start orders in flight with a refusal, and returns their number.
func (h *harness) refuseStarts(reason beryllatch.OrderRejection) int {
	h.t.Helper()
	starts := h.starts
	h.starts = nil
	for _, f := range starts {
		h.apply(StartEnded{
			Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: &beryllatch.OrderRejectedError{Reason: reason},
		})
	}
	return len(starts)
}

// Guards against review/14: jobs whose starts had all been refused were shown as running, and missing in the number of pending jobs.
func TestJobsWithRefusedStartsArePending(t *testing.T) {
	for _, reason := range []beryllatch.OrderRejection{
		beryllatch.RejectBusy, beryllatch.RejectNoRoom, beryllatch.RejectLate, beryllatch.RejectOldRun, beryllatch.RejectTicket,
		beryllatch.RejectIncarnation, beryllatch.RejectUnsent, beryllatch.RejectOther,
	} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b", "c")
			j := singleTaskJob("0000000000000001")
			j.Steps[0].Count = 3
			h.accept(j)
			refused := 0
			for range 10 {
				refused += h.refuseStarts(reason)
				h.assertBegun(j.ID, false)
				h.answerHolds(nil)
				h.tickFor(200 * time.Millisecond)
			}
			assert.Assert(t, refused >= 3)
		})
	}
}

// The same for a gang, whose members are ordered together.
func TestGangWithRefusedStartsIsPending(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Gang = 3, true
	h.accept(j)
	assert.Equal(t, h.refuseStarts(beryllatch.RejectNoRoom), 3)
	h.assertBegun(j.ID, false)
}

// A job has begun as soon as one worker says so: by its answer, its list of runs, or the end of a run.
func TestJobHasBegunOnTheWordOfAWorker(t *testing.T) {
	start := func(t *testing.T) (*harness, StartRun) {
		t.Helper()
		h := newHarness(t)
		h.register("a")
		h.accept(singleTaskJob("0000000000000001"))
		assert.Equal(t, len(h.starts), 1)
		h.assertBegun("0000000000000001", false)
		return h, h.starts[0]
	}
	unanswered := func(h *harness, f StartRun) {
		h.apply(StartEnded{Worker: "a", Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: errNoAnswer})
		h.assertBegun("0000000000000001", false)
	}
	t.Run("answer", func(t *testing.T) {
		h, _ := start(t)
		h.confirmStarts()
		h.assertBegun("0000000000000001", true)
	})
	t.Run("list", func(t *testing.T) {
		h, f := start(t)
		unanswered(h, f)
		h.answerHolds(runningLists([]StartRun{f}, 10))
		h.assertBegun("0000000000000001", true)
	})
	t.Run("end", func(t *testing.T) {
		h, f := start(t)
		unanswered(h, f)
		h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
			{Number: 1, Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunFailed},
		}}})
		h.assertBegun("0000000000000001", true)
	})
	t.Run("restart", func(t *testing.T) {
		h, _ := start(t)
		h.confirmStarts()
		first := h.restart()
		h.apply(WorkerHeld{Worker: "a", Fence: first.Order.Fence, Sent: first.sent, Lists: beryllatch.WorkerLists{Incarnation: 2, Clock: time.Second}})
		assert.Equal(t, len(h.starts), 1, "the task starts again")
		h.assertBegun("0000000000000001", true)
	})
}

// A node that takes over knows of earlier runs by the stored progress, and not of starts that were refused.
func TestTakeoverKnowsWhichJobsHaveBegun(t *testing.T) {
	for outcome, begun := range map[beryllatch.RunOutcome]bool{beryllatch.RunFailed: true, "": false} {
		t.Run("run ended "+string(outcome), func(t *testing.T) {
			h, stored, start := usedWorkers(t, 2)
			if begun {
				h.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Finished: []beryllatch.FinishedEntry{
					{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: outcome},
				}}})
				h.storeInto(stored)
			}
			next := h.takeOver(stored)
			next.apply(RegistryRead{Workers: workerInfos(2)})
			next.assertBegun(start.Order.Task[:16], begun)
		})
	}
}
