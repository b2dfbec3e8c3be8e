package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// rows collects what the scheduler has stored, as a store would.
type rows map[string]beryllatch.DataRow

func (r rows) apply(tx beryllatch.RowTransaction, version int64) {
	for _, p := range tx.Puts {
		p.Version = version
		r[p.Table+"/"+p.Key] = p
	}
	for _, d := range tx.Deletes {
		delete(r, d.Table+"/"+d.Key)
	}
}

func (r rows) table(name string) []beryllatch.DataRow {
	var out []beryllatch.DataRow
	for _, row := range r {
		if row.Table == name {
			out = append(out, row)
		}
	}
	return out
}

// storeInto applies the waiting transactions.
func (w *world) storeInto(r rows) {
	w.t.Helper()
	for len(w.commits) > 0 {
		tx, batch := w.commits[0].Transaction, w.commits[0].Batch
		w.commits = w.commits[1:]
		w.version++
		r.apply(tx, w.version)
		w.apply(Committed{Batch: batch, Version: w.version})
	}
}

// takeOver returns the world of a node that takes over with the stored rows, and no workers so far.
func (w *world) takeOver(r rows) *world {
	w.t.Helper()
	next := &world{t: w.t, now: w.now.Add(time.Second), version: w.version + 1000, answers: make(map[uint64]error), s: testScheduler(w.s.Epoch+1, 8)}
	next.apply(Recovered{Jobs: r.table(JobsTable), Progress: r.table(ProgressTable), Workers: r.table(WorkersTable), Waves: r.table(WavesTable)})
	next.apply(DeploymentChanged{testDeployment()})
	return next
}

// A run of a cancelled job that is still being stopped takes its capacity after a takeover, too.
func TestTakeoverBooksRunsThatAreBeingStopped(t *testing.T) {
	w := newWorld(t)
	stored := make(rows)
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	w.storeInto(stored)
	w.answerHolds(nil)
	w.pass(100 * time.Millisecond)
	j := oneTask("0000000000000001")
	j.Steps[0].Needs.CPUMilli = 12000
	w.submit(j)
	w.storeInto(stored)
	starts := w.confirm()
	assert.Equal(t, len(starts), 1)
	w.call++
	w.apply(CancelRequested{Call: w.call, ID: j.ID})
	w.storeInto(stored)

	next := w.takeOver(stored)
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	next.answerHolds(running(starts, 50))
	next.storeInto(stored)
	next.submit(func() beryllatch.Job { k := oneTask("0000000000000002"); k.Steps[0].Needs.CPUMilli = 8000; return k }())
	next.storeInto(stored)
	next.pass(100 * time.Millisecond)
	assert.Equal(t, len(next.starts), 0, "the worker is full until the stopped run has ended")
	assert.Equal(t, len(next.stops), 1)
}

// A job that was accepted before the takeover is done once its last end is listed, and was started once.
func TestTakeoverGoesOnWithAdoptedRuns(t *testing.T) {
	w := newWorld(t)
	stored := make(rows)
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	w.storeInto(stored)
	w.answerHolds(nil)
	w.pass(100 * time.Millisecond)
	w.submit(oneTask("0000000000000001"))
	w.storeInto(stored)
	start := w.confirm()[0]

	next := w.takeOver(stored)
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	next.pass(time.Second)
	assert.Equal(t, len(next.starts), 0, "nothing starts before the workers have told what they run")
	next.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	next.storeInto(stored)
	assert.Equal(t, len(next.starts), 0)
	state, ok := next.s.JobState("0000000000000001")
	assert.Assert(t, ok)
	assert.Equal(t, state, beryllatch.JobDone)
}

// Failed runs whose ends are listed again after a takeover count once against the job's attempts.
func TestTakeoverCountsFailuresOnce(t *testing.T) {
	w := newWorld(t)
	stored := make(rows)
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	w.storeInto(stored)
	w.answerHolds(nil)
	w.pass(100 * time.Millisecond)
	w.submit(oneTask("0000000000000001"))
	w.storeInto(stored)
	start := w.confirm()[0]
	ends := map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunFailed},
	}}}
	w.pass(time.Second)
	w.answerHolds(ends)
	w.storeInto(stored)
	for range 3 {
		w = w.takeOver(stored)
		w.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
		w.answerHolds(ends)
		w.storeInto(stored)
	}
	state, _ := w.s.JobState("0000000000000001")
	assert.Assert(t, state != beryllatch.JobFailed, "one of three attempts has failed")
}
