package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// storedRows is the content of the store.
type storedRows map[string]beryllatch.DataRow

func (r storedRows) apply(tx beryllatch.RowTransaction, version int64) {
	for _, p := range tx.Puts {
		p.Version = version
		r[p.Table+"/"+p.Key] = p
	}
	for _, d := range tx.Deletes {
		delete(r, d.Table+"/"+d.Key)
	}
}

func (r storedRows) table(name string) []beryllatch.DataRow {
	var out []beryllatch.DataRow
	for _, row := range r {
		if row.Table == name {
			out = append(out, row)
		}
	}
	return out
}

// storeInto reports all transactions as stored and applies them to r.
func (h *harness) storeInto(r storedRows) {
	h.t.Helper()
	for len(h.commits) > 0 {
		tx, batch := h.commits[0].Transaction, h.commits[0].Batch
		h.commits = h.commits[1:]
		h.version++
		r.apply(tx, h.version)
		h.apply(Committed{Batch: batch, Version: h.version})
	}
}

// takeOver returns a harness for the next epoch, recovered from the stored rows; it has no registered workers yet.
func (h *harness) takeOver(r storedRows) *harness {
	h.t.Helper()
	return h.takeOverWith(r, testDeployment())
}

// takeOverWith is as takeOver with another configuration than the test's.
func (h *harness) takeOverWith(r storedRows, d *beryllatch.Deployment) *harness {
	h.t.Helper()
	next := &harness{t: h.t, now: h.now.Add(time.Second), version: h.version + 1000, answers: make(map[uint64]error), s: testScheduler(h.s.Epoch+1, 8)}
	next.apply(Recovered{Jobs: r.table(JobsTable), Progress: r.table(ProgressTable), Workers: r.table(WorkersTable), Waves: r.table(WavesTable), Barrier: r.table(BarrierTable)})
	next.apply(DeploymentChanged{d})
	return next
}

// largeRun returns a harness with a job of 12 cores that runs on worker a, and its stored rows.
func largeRun(t *testing.T) (*harness, storedRows, []StartRun) {
	t.Helper()
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	h.storeInto(stored)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Needs.CPUMilli = 12000
	h.submit(j)
	h.storeInto(stored)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	return h, stored, starts
}

// After a takeover, a run of a cancelled job that is still being stopped must keep its capacity booked.
func TestTakeoverBooksRunsThatAreBeingStopped(t *testing.T) {
	h, stored, starts := largeRun(t)
	h.lastCall++
	h.apply(CancelRequested{Call: h.lastCall, ID: "0000000000000001"})
	h.storeInto(stored)

	next := h.takeOver(stored)
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	next.answerHolds(runningLists(starts, 50))
	next.storeInto(stored)
	next.submit(func() beryllatch.Job {
		k := singleTaskJob("0000000000000002")
		k.Steps[0].Needs.CPUMilli = 8000
		return k
	}())
	next.storeInto(stored)
	next.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0, "the worker is full until the stopped run has ended")
	assert.Equal(t, len(next.stops), 1)
}

// After a takeover, a task with a run on a worker must not start again, and the job must be done once the worker lists the
// completion.
func TestTakeoverGoesOnWithAdoptedRuns(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	h.storeInto(stored)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	h.submit(singleTaskJob("0000000000000001"))
	h.storeInto(stored)
	start := h.confirmStarts()[0]

	next := h.takeOver(stored)
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	next.tickFor(time.Second)
	assert.Equal(t, len(next.starts), 0, "nothing starts before the workers have listed their runs")
	next.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	next.storeInto(stored)
	assert.Equal(t, len(next.starts), 0)
	state, ok := next.s.JobState("0000000000000001")
	assert.Assert(t, ok)
	assert.Equal(t, state, beryllatch.JobDone)
}

// A worker that has left must not be used again by a node that finds its row.
func TestTakeoverIgnoresWorkersThatHaveLeft(t *testing.T) {
	h, stored, start := usedWorkers(t, 2)
	gone := start.Worker.ID
	next := h.takeOver(stored)
	var infos []beryllatch.WorkerInfo
	for _, i := range workerInfos(2) {
		if i.ID != gone {
			infos = append(infos, i)
		}
	}
	next.apply(RegistryRead{Workers: infos})
	for range 20 {
		next.tickFor(500 * time.Millisecond)
		next.answerHolds(nil)
		next.storeInto(stored)
	}
	assert.Equal(t, len(next.starts), 1)
	assert.Assert(t, next.starts[0].Worker.ID != gone)
}

// A failed run that is listed again after each takeover must count only once against the attempts.
func TestTakeoverCountsFailuresOnce(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	h.storeInto(stored)
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	h.submit(singleTaskJob("0000000000000001"))
	h.storeInto(stored)
	start := h.confirmStarts()[0]
	lists := map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunFailed},
	}}}
	h.tickFor(time.Second)
	h.answerHolds(lists)
	h.storeInto(stored)
	for range 3 {
		h = h.takeOver(stored)
		h.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
		h.answerHolds(lists)
		h.storeInto(stored)
	}
	state, _ := h.s.JobState("0000000000000001")
	assert.Assert(t, state != beryllatch.JobFailed, "one of three attempts has failed")
}
