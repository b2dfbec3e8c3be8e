package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// restartedInfo is the registration of worker a once it has started again under its ID.
func restartedInfo(incarnation int64) beryllatch.WorkerInfo {
	i := workerInfo("a")
	i.Incarnation = incarnation
	return i
}

// Guards against review/5: a takeover took a worker that had restarted under its ID in an earlier epoch for one without runs, and
// started its tasks a second time while they were at work.
func TestTakeoverWaitsForAWorkerThatHasRestarted(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	h.storeInto(stored)
	h.answerHolds(nil)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
	h.tickFor(100 * time.Millisecond)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	h.submit(singleTaskJob("0000000000000001"))
	h.storeInto(stored)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)

	next := h.takeOver(stored)
	began := next.now
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{restartedInfo(2), workerInfo("b")}})
	for next.now.Sub(began) < testLease {
		next.tickFor(100 * time.Millisecond)
		next.answerHolds(nil, "a")
		next.storeInto(stored)
		assert.Equal(t, len(next.starts), 0, "after %s", next.now.Sub(began))
	}
}

// A run on a worker that restarts must start elsewhere as soon as the new incarnation's lists show that it is gone.
func TestRunOfAnEndedIncarnationStartsAgain(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	first := h.confirmStarts()[0]
	h.tickFor(100 * time.Millisecond)
	fence := h.holds[0].Order.Fence
	h.holds = nil
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
	assert.Equal(t, len(h.starts), 0, "the new incarnation has not been asked")
	h.apply(WorkerHeld{Worker: "a", Fence: fence, Sent: h.now.Add(-time.Second), Err: errNoAnswer})
	assert.Equal(t, len(h.holds), 1)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Order.Task, first.Order.Task)
	assert.Assert(t, h.starts[0].Order.Run > first.Order.Run)
}

// Guards against review/3: when a worker restarted under its ID while a hold was in flight, its new runs were written off, and it was
// never asked again.
func TestRunsOfANewIncarnationAreKept(t *testing.T) {
	for _, answeredBy := range []int64{1, 2} {
		t.Run(fmt.Sprintf("hold answered by %d", answeredBy), func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.accept(singleTaskJob("0000000000000001"))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 1)
			holds := h.holds
			assert.Equal(t, len(holds), 1)
			h.holds = nil
			h.register("b")
			h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
			e := WorkerHeld{Worker: "a", Fence: holds[0].Order.Fence, Sent: holds[0].sent}
			e.Lists.Incarnation, e.Lists.Clock = answeredBy, time.Second
			if answeredBy == 2 {
				e.Lists.Running = runningLists(starts, 10)["a"].Running
			}
			h.apply(e)
			for range 10 {
				h.tickFor(100 * time.Millisecond)
				h.answerHolds(runningLists(starts, 10))
			}
			assert.Equal(t, len(h.starts), 0, "the new incarnation has the run")
			assert.Assert(t, h.s.workers["a"].leasesExpireBy.Sub(h.now) > testLease-time.Second, "the lease of the run is extended")
		})
	}
}

// The outcome of an order must be counted even if another incarnation has been seen meanwhile: starts in flight are limited for each
// worker.
func TestStartsInFlightEndWithTheirIncarnation(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
	h.confirmStarts()
	assert.Equal(t, h.s.workers["a"].pendingStarts, 0)
	assert.Equal(t, h.s.pendingStarts, 0)
}

// Guards against completions that are never read: a hold with the number of a completion of an ended incarnation makes the next one
// forget its own up to that number, and a task that it has done starts again (TWICE).
func TestNoAcknowledgementToAnUnknownIncarnation(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.finishRuns(beryllatch.RunDone, h.confirmStarts()...)
	h.answerHolds(nil)
	h.tickFor(contactValidity)
	assert.Equal(t, len(h.holds), 0, "the worker is idle")

	// The worker restarts unnoticed, and the holds during the run of its new task are lost.
	h.accept(singleTaskJob("0000000000000002"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	for range 10 {
		for _, f := range h.holds {
			assert.Equal(t, f.Order.Acknowledge, int64(0))
		}
		h.tickFor(200 * time.Millisecond)
		h.answerHolds(nil, "a")
	}
	h.tickFor(time.Second)
	hold := h.holds[0]
	assert.Equal(t, hold.Order.Acknowledge, int64(0))
	h.holds = nil
	lists := beryllatch.WorkerLists{
		Incarnation: 2, Clock: time.Second,
		Finished: []beryllatch.FinishedEntry{{Number: 1, Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: beryllatch.RunDone}},
	}
	h.apply(WorkerHeld{Worker: "a", Fence: hold.Order.Fence, Sent: hold.sent, Lists: lists})
	assert.Equal(t, len(h.holds), 1, "the new incarnation is asked")
	hold, h.holds = h.holds[0], nil
	assert.Equal(t, hold.Order.Acknowledge, int64(0))
	h.apply(WorkerHeld{Worker: "a", Fence: hold.Order.Fence, Sent: hold.sent, Lists: lists})
	h.storeAll()
	h.tickFor(100 * time.Millisecond)
	state, _ := h.s.JobState("0000000000000002")
	assert.Equal(t, state, beryllatch.JobDone)
	assert.Equal(t, h.holds[0].Order.Acknowledge, int64(1), "the new incarnation has answered")
}

// awaitLongestLease checks that nothing starts until the longest lease granted at a time has expired on a silent worker, and that its task
// does then.
func (h *harness) awaitLongestLease(granted time.Time, silent string) {
	h.t.Helper()
	for h.now.Sub(granted) < h.s.Limits.MaxLease {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(nil, silent)
		assert.Equal(h.t, len(h.starts), 0, "after %s", h.now.Sub(granted))
	}
	h.tickFor(time.Second)
	assert.Equal(h.t, len(h.starts), 1)
}

// A worker that has started again unnoticed takes the end of a new lease for a time far ahead on its clock, and shortens the lease to the
// longest possible one: its runs must not be written off before that one has expired (TWICE).
func TestLeaseOfAnUnknownIncarnationMayBeTheLongest(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickFor(time.Second + contactValidity)
	h.accept(singleTaskJob("0000000000000001"))
	h.confirmStarts()
	granted := h.now
	h.register("b")
	h.awaitLongestLease(granted, "a")
}

// The same if the new incarnation has been seen meanwhile: its answers tell nothing of a lease that was granted to the one before and
// reached it (TWICE).
func TestLeaseThatReachedTheNextIncarnationMayBeTheLongest(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickFor(time.Second + contactValidity)
	h.accept(singleTaskJob("0000000000000001"))
	lists := runningLists(h.confirmStarts(), 10)
	granted := h.now
	i := workerInfo("a")
	i.Incarnation = 2
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{i}})
	for range 3 {
		h.answerHolds(lists)
		h.tickFor(100 * time.Millisecond)
	}
	h.register("b")
	h.awaitLongestLease(granted, "a")
}

// The same for a worker that a node which takes over has not read: the epoch before may have granted such a lease.
func TestTakeoverWaitsForTheLongestLease(t *testing.T) {
	h, stored, start := usedWorkers(t, 2)
	next := h.takeOver(stored)
	began := next.now
	next.apply(RegistryRead{Workers: workerInfos(2)})
	for next.now.Sub(began) < next.s.Limits.MaxLease {
		next.tickFor(100 * time.Millisecond)
		next.answerHolds(nil, start.Worker.ID)
		next.storeInto(stored)
		assert.Equal(t, len(next.starts), 0, "after %s", next.now.Sub(began))
	}
}

// restart shows the scheduler that worker a has started again, and returns the hold with which it is asked first.
func (h *harness) restart() sentHold {
	h.t.Helper()
	h.holds = nil
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
	assert.Equal(h.t, len(h.holds), 1, "the new incarnation is asked at once")
	hold := h.holds[0]
	h.holds = nil
	return hold
}

// Guards against review/13: a hold with the number of a completion was carried out seconds later by the next incarnation of its worker, which
// forgot completions that nobody had read, and tasks that had ended done started again.
func TestOrdersToTheIncarnationBeforeAreRefused(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.finishRuns(beryllatch.RunDone, h.confirmStarts()...)
	h.tickFor(100 * time.Millisecond)
	h.accept(singleTaskJob("0000000000000002"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	late := h.holds
	assert.Equal(t, len(late), 1)

	first := h.restart()
	assert.Assert(t, first.Order.Fence > late[0].Order.Fence && first.Order.Fence > starts[0].Order.Fence, "the first order shuts out the late ones")
	assert.Equal(t, first.Order.Acknowledge, int64(0))

	// Even if the new incarnation answers a late order, others may follow until it has received one of its own.
	h.apply(WorkerHeld{Worker: "a", Fence: late[0].Order.Fence, Sent: late[0].sent, Lists: beryllatch.WorkerLists{Incarnation: 2, Clock: time.Second}})
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.s.workers["a"].runs), 1, "the start may still be carried out")
	assert.Equal(t, len(h.starts), 0)

	h.apply(WorkerHeld{Worker: "a", Fence: first.Order.Fence, Sent: first.sent, Lists: beryllatch.WorkerLists{Incarnation: 2, Clock: time.Second}})
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Order.Fence, first.Order.Fence)
	assert.Equal(t, h.starts[0].Order.Task, starts[0].Order.Task)
}

// An order that is refused because the worker's next incarnation has received one of its own must not be taken for the sign of another
// scheduling node.
func TestOvertakenOrderKeepsTheEpoch(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	start := h.starts[0]
	late := h.holds[0]
	first := h.restart()
	refused := &beryllatch.OrderRejectedError{Reason: beryllatch.RejectFence}
	h.apply(StartEnded{Worker: "a", Fence: start.Order.Fence, Task: start.Order.Task, Run: start.Order.Run, Err: refused})
	h.apply(StopEnded{Worker: "a", Fence: start.Order.Fence, Task: start.Order.Task, Run: start.Order.Run, Err: refused})
	h.apply(WorkerHeld{Worker: "a", Fence: late.Order.Fence, Sent: late.sent, Err: refused})
	assert.Assert(t, !h.s.resigned)
	h.apply(WorkerHeld{Worker: "a", Fence: first.Order.Fence, Sent: first.sent, Err: refused})
	assert.Assert(t, h.s.resigned, "nobody else gives orders with a higher fence than the present one")
}

// The orders of a successor must outrank all of the epoch before, however often workers have started again in it.
func TestFencesOfAnEpochAreHigherThanAllBefore(t *testing.T) {
	s := testScheduler(1, 1)
	s.incarnations = fencesPerEpoch - 2
	last := s.newIncarnation().fence
	assert.Assert(t, testScheduler(2, 2).newIncarnation().fence > last)
	s.newIncarnation()
	assert.Assert(t, s.resigned, "the next one would be in the range of the successor")
}

// A lease by the clock of the incarnation before may be granted until the present one has received an order of its own, so that it may
// expire late (TWICE).
func TestLateLeaseOfARestartedWorkerMayBeTheLongest(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	lists := runningLists(h.confirmStarts(), 10)["a"]
	h.restart()
	h.tickFor(2 * time.Second)
	hold := sentHold{HoldWorker{Order: beryllatch.HoldOrder{Fence: h.s.workers["a"].fence}}, h.now, 2}
	answered := h.now
	lists.Incarnation, lists.Clock = 2, time.Second
	h.apply(WorkerHeld{Worker: "a", Fence: hold.Order.Fence, Sent: hold.sent, Lists: lists})
	h.register("b")
	h.awaitLongestLease(answered, "a")
}

// A number that the worker has taken note of must not be sent again: if the worker starts again unnoticed, its next incarnation would forget
// completions that nobody has read (TWICE).
func TestAcknowledgementIsSentOnce(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.finishRuns(beryllatch.RunDone, h.confirmStarts()...)
	h.accept(singleTaskJob("0000000000000002"))
	running := runningLists(h.confirmStarts(), 10)
	var sent []int64
	for range 10 {
		for _, f := range h.holds {
			if f.Order.Acknowledge > 0 {
				sent = append(sent, f.Order.Acknowledge)
			}
		}
		h.answerHolds(running)
		h.tickFor(200 * time.Millisecond)
	}
	assert.DeepEqual(t, sent, []int64{1})
}

// While an order is unanswered, it may have started a run on the next incarnation, whose completion an acknowledgement could make it forget
// unread (TWICE).
func TestNoAcknowledgementWhileAnOrderIsUnanswered(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.confirmStarts()
	h.accept(singleTaskJob("0000000000000002"))
	start := h.starts[0]
	w := h.s.workers["a"]
	h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: "0000000000000001.0.0.0", Run: 1, Outcome: beryllatch.RunDone},
	}}})
	h.apply(StartEnded{Worker: "a", Fence: start.Order.Fence, Task: start.Order.Task, Run: start.Order.Run, Err: errNoAnswer})
	h.storeAll()
	assert.Equal(t, h.s.storedCompletions(w), int64(1))
	holds := len(h.holds)
	h.tickFor(200 * time.Millisecond)
	assert.Assert(t, len(h.holds) > 0 && holds > 0)
	for _, f := range h.holds {
		assert.Equal(t, f.Order.Acknowledge, int64(0))
	}
	h.answerHolds(runningLists([]StartRun{start}, 10))
	h.tickFor(200 * time.Millisecond)
	assert.Equal(t, h.holds[len(h.holds)-1].Order.Acknowledge, int64(1), "the worker has answered")
}

// A worker that has started again unnoticed must be asked as soon as the clock in an answer shows it: an acknowledgement that is delivered late
// would make it forget the completion of the run that it has just started (TWICE).
func TestClockThatStartsAnewShowsARestart(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	w := h.s.workers["a"]
	fence := w.fence
	h.accept(singleTaskJob("0000000000000001"))
	start := h.starts[0]
	h.holds, h.starts = nil, nil
	e := StartEnded{Worker: "a", Fence: fence, Task: start.Order.Task, Run: start.Order.Run, Clock: h.clock()}
	h.now = h.now.Add(2 * time.Second)
	h.apply(e)
	assert.Equal(t, w.fence, fence, "the answer may have taken that long")

	e.Clock = time.Second
	h.apply(e)
	assert.Assert(t, w.fence > fence)
	assert.Equal(t, len(h.holds), 1, "it is asked at once")
	hold := h.holds[0]
	h.holds = nil
	assert.Equal(t, hold.Order.Fence, w.fence)
	lists := beryllatch.WorkerLists{Incarnation: 2, Clock: 2 * time.Second, Running: runningLists([]StartRun{start}, 10)["a"].Running}
	h.apply(WorkerHeld{Worker: "a", Fence: hold.Order.Fence, Sent: hold.sent, Lists: lists})
	assert.Equal(t, w.fence, hold.Order.Fence, "the lists show which incarnation it is")
	h.tickFor(200 * time.Millisecond)
	assert.Equal(t, len(w.runs), 1)
	assert.Equal(t, len(h.starts), 0)
}
