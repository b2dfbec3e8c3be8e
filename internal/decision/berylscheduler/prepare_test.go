package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

func workerInfos(n int) []beryllatch.WorkerInfo {
	var out []beryllatch.WorkerInfo
	for i := range n {
		info := workerInfo(fmt.Sprintf("w%03d", i))
		info.Rack = fmt.Sprintf("r%d", i%20)
		info.Labels = []string{"a", info.Rack}
		out = append(out, info)
	}
	return out
}

// Rows and holds must follow the work and not the number of workers.
func TestWorkersWithoutWorkAreLeftAlone(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryRead{Workers: workerInfos(200)})
	h.storeInto(stored)
	assert.Equal(t, len(stored.table(WorkersTable)), poolReserve)
	assert.Equal(t, len(h.holds), poolReserve)
}

// When a queue rises to many times its mean, its tasks must not wait for workers to be prepared one by one.
func TestWorkersArePreparedForABurst(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryRead{Workers: workerInfos(200)})
	h.storeInto(stored)
	h.answerHolds(nil)
	began := h.now
	for n := range 10 {
		j := singleTaskJob(fmt.Sprintf("%016x", n))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 8, 4000
		h.submit(j)
		h.s.deployment.Teams["team"] = beryllatch.JobTeam{Name: "team"}
	}
	for range 10 {
		h.storeInto(stored)
		h.answerHolds(nil)
		h.apply(Woken{})
	}
	assert.Equal(t, len(h.starts), 80, "after %s", h.now.Sub(began))
	prepared := len(stored.table(WorkersTable))
	assert.Assert(t, prepared >= 20 && prepared <= 60, "%d workers are prepared for the work of 20", prepared)
}

// A task whose data is on a rack without prepared workers must still run there.
func TestWorkersArePreparedOnTheRackOfTheData(t *testing.T) {
	h := newHarness(t)
	h.apply(RegistryRead{Workers: workerInfos(100)})
	h.storeAll()
	h.answerHolds(nil)
	j := singleTaskJob("0000000000000001")
	j.Steps[0].DataRack = "r17"
	h.submit(j)
	h.answerHolds(nil)
	h.storeAll()
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.s.workers[h.starts[0].Worker.ID].info.Rack, "r17")
}

// usedWorkers returns the rows of n workers, of which the first has done the only task of a job.
func usedWorkers(t *testing.T, n int) (*harness, storedRows, StartRun) {
	t.Helper()
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryRead{Workers: workerInfos(n)})
	for _, w := range h.s.sortedWorkers {
		h.s.journal.setWorkerRow(w.info.ID, w.encode())
	}
	for range 3 {
		h.apply(Ticked{})
		h.storeInto(stored)
	}
	h.answerHolds(nil)
	h.submit(singleTaskJob("0000000000000001"))
	h.storeInto(stored)
	return h, stored, h.confirmStarts()[0]
}

// A node that has just taken over and is slow to ask the workers must not start a task again that a worker has finished: the
// completion may be listed already, and not stored.
func TestTakeoverAsksTheWorkerBeforeItsTaskStartsAgain(t *testing.T) {
	h, stored, start := usedWorkers(t, 2)
	next := h.takeOver(stored)
	next.apply(RegistryRead{Workers: workerInfos(2)})
	holds := next.holds
	next.tickFor(2 * expiryBound(next.s.Limits.MaxLease))
	assert.Equal(t, len(next.starts), 0, "no answer is known")
	next.holds = holds
	next.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	next.storeInto(stored)
	next.tickFor(time.Second)
	assert.Equal(t, len(next.starts), 0)
	state, _ := next.s.JobState("0000000000000001")
	assert.Equal(t, state, beryllatch.JobDone)
}

// A node that takes over a large fleet must not ask all workers at once: it could not handle the answers in time.
func TestTakeoverAsksAFewWorkersAtATime(t *testing.T) {
	const workers = 300
	h, stored, _ := usedWorkers(t, workers)
	next := h.takeOver(stored)
	next.apply(RegistryRead{Workers: workerInfos(workers)})
	asked := 0
	for len(next.holds) > 0 {
		assert.Assert(t, len(next.holds) <= maxUnsyncedHolds, "%d holds are in flight", len(next.holds))
		hold := next.holds[0]
		next.holds = next.holds[1:]
		asked++
		next.apply(WorkerHeld{Worker: hold.Worker.ID, Fence: hold.Order.Fence, Acknowledge: hold.Order.Acknowledge, Sent: hold.sent, Lists: beryllatch.WorkerLists{Clock: time.Hour, Incarnation: 1}})
		if asked == workers {
			break
		}
	}
	assert.Equal(t, len(next.s.findUnsyncedPools()), 0)
}

// A queue whose policy rules most workers out needs more prepared workers than its tasks have room for, until one is allowed.
func TestWorkersArePreparedUntilTheAdvisorAllowsOne(t *testing.T) {
	h := newHarness(t)
	q := h.s.deployment.Queues["q"]
	q.Restricted = true
	h.s.deployment.Queues["q"] = q
	h.apply(RegistryRead{Workers: workerInfos(60)})
	h.storeAll()
	h.answerHolds(nil)
	for n := range 20 {
		h.submit(singleTaskJob(fmt.Sprintf("%016x", n)))
	}
	const allowed = "w050"
	for range 100 {
		h.storeAll()
		h.answerHolds(nil)
		h.tickFor(100 * time.Millisecond)
		effects := h.otherEffects
		h.otherEffects = nil
		for _, f := range effects {
			ask, ok := f.(AskAdvice)
			if !ok {
				continue
			}
			e := AdviceReceived{Step: ask.Step, Workers: ask.Workers, Valid: time.Minute}
			for _, id := range ask.Workers {
				if id == allowed {
					e.Tickets = append(e.Tickets, beryllatch.PlacementTicket{Worker: id, Ticket: "t"})
				}
			}
			h.apply(e)
		}
		for _, f := range h.confirmStarts() {
			assert.Equal(t, f.Worker.ID, allowed)
			return
		}
	}
	t.Fatal("no task has started")
}

// A worker near a task's data that does not become usable must not keep the task waiting (review/3).
func TestTaskWaitsForItsDataRackForAWhile(t *testing.T) {
	h := newHarness(t)
	h.register("b")
	near := workerInfo("a")
	near.Rack, near.Labels = "r9", []string{"a", "r9"}
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{near}})
	h.holds = nil
	j := singleTaskJob("0000000000000001")
	j.Steps[0].DataRack = "r9"
	h.accept(j)
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts), 0, "the worker near the data is being prepared")
	h.tickFor(3 * time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker.ID, "b")
}

// A worker that returns while its row is being deleted must get no run before the row is stored again: a node that takes over
// meanwhile would not know the worker, and start its tasks a second time.
func TestReturnedWorkerNeedsItsRow(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.apply(RegistryChanged{Removed: []string{"a"}})
	h.tickFor(2 * expiryBound(h.s.Limits.MaxLease))
	assert.Equal(t, len(h.s.workers), 0)
	assert.Equal(t, len(h.commits), 1, "the row is being deleted")
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	h.submit(singleTaskJob("0000000000000001"))
	h.tickFor(200 * time.Millisecond)
	h.answerHolds(nil)
	h.tickFor(200 * time.Millisecond)
	second := h.commits[1].Batch
	h.version++
	h.apply(Committed{Batch: second, Version: h.version})
	h.tickFor(200 * time.Millisecond)
	assert.Equal(t, len(h.starts), 0)
	h.storeAll()
	h.tickFor(200 * time.Millisecond)
	h.storeAll()
	assert.Equal(t, len(h.starts), 1)
}

// A worker that returns before the deletion of its row is stored must be prepared again: it kept a row that was no longer the one of its ID,
// and got no work for the rest of the epoch (berylsoak --incarnations, seed 9204: LOST).
func TestReturnedWorkerIsPreparedAgain(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.apply(RegistryChanged{Removed: []string{"a"}})
	h.tickFor(2 * expiryBound(h.s.Limits.MaxLease))
	assert.Assert(t, h.s.workers["a"] == nil)
	assert.Equal(t, len(h.commits), 1, "the row is being deleted")
	draining := workerInfo("a")
	draining.Draining = true
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{draining}})
	h.storeAll()
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	h.submit(singleTaskJob("0000000000000001"))
	for range 20 {
		// A fault may make the scheduler write the row again and again.
		if len(h.commits) > 0 {
			h.version++
			batch := h.commits[0].Batch
			h.commits = h.commits[1:]
			h.apply(Committed{Batch: batch, Version: h.version})
		}
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(nil)
	}
	assert.Equal(t, len(h.starts), 1)
}
