package berylscheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// conflict answers the waiting transaction as a store does in which the given rows exist.
func (w *world) conflict(rows map[string]int64) {
	w.t.Helper()
	c := w.commits[0]
	w.commits = w.commits[1:]
	var out []beryllatch.DataRow
	for _, r := range c.Transaction.Conditions {
		version := rows[r.Table+"/"+r.Key]
		if r.Table == DutyTable {
			version = r.Version
		}
		if version == 0 {
			// The store names present rows only.
			continue
		}
		out = append(out, beryllatch.DataRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: version})
	}
	w.apply(Committed{Batch: c.Batch, Err: &beryllatch.RowConflictError{Rows: out}})
}

// A worker that goes and comes back under its ID before its row is deleted must not appear twice in one transaction: the
// store would refuse it for ever.
func TestTransactionNamesEachRowOnce(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.apply(RegistryChanged{Removed: []string{"a"}})
	w.submit(oneTask("0000000000000001"))
	w.pass(10 * time.Second)
	info := workerInfo("a")
	info.Incarnation = 2
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
	for range 10 {
		for len(w.commits) > 0 {
			seen := make(map[string]bool)
			for _, c := range w.commits[0].Transaction.Conditions {
				key := c.Table + "/" + c.Key
				assert.Assert(t, !seen[key], "%s is named twice", key)
				seen[key] = true
			}
			w.conflict(map[string]int64{WorkersTable + "/a": 150})
		}
		w.pass(100 * time.Millisecond)
	}
	w.store()
	w.pass(100 * time.Millisecond)
	w.store()
	assert.NilError(t, w.answers[w.call])
}

// A repeated submission and a lost answer of the store leave one job, and the caller gets the truth.
func TestLostAnswerOfTheStore(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.submit(oneTask("0000000000000001"))
	w.failCommit(&beryllatch.UnknownOutcomeError{})
	_, answered := w.answers[w.call]
	assert.Assert(t, !answered, "the job may be stored")
	assert.Equal(t, len(w.starts), 0, "a job starts once it is stored")
	w.pass(time.Second)
	w.conflict(map[string]int64{JobsTable + "/0000000000000001": 120})
	w.pass(100 * time.Millisecond)
	w.store()
	assert.NilError(t, w.answers[w.call])
	assert.Equal(t, len(w.starts), 1)
}

// A store that answers nothing at all refuses jobs at once: they would only wait.
func TestSilentStoreRefusesJobsAtOnce(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.submit(oneTask("0000000000000001"))
	batch := w.commits[0].Batch
	w.commits = w.commits[1:]
	w.apply(Committed{Batch: batch, StoreUnresponsive: true, Err: &beryllatch.UnknownOutcomeError{}})
	w.submit(oneTask("0000000000000002"))
	var f *beryllatch.Refusal
	assert.Assert(t, errors.As(w.answers[w.call], &f))
	assert.Equal(t, f.RunState, beryllatch.RunStateNotRun)
	assert.Assert(t, f.RetryAfter > 0)
	_, answered := w.answers[w.call-1]
	assert.Assert(t, !answered, "the first job may be stored")
}

// A job that surely was not stored is refused as not run, and never starts.
func TestUnavailableStoreRefusesJobs(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.submit(oneTask("0000000000000001"))
	w.failCommit(&beryllatch.UnavailableError{Err: errors.New("refused")})
	var refusal *beryllatch.Refusal
	assert.Assert(t, errors.As(w.answers[w.call], &refusal))
	assert.Equal(t, refusal.RunState, beryllatch.RunStateNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	w.pass(5 * time.Second)
	assert.Equal(t, len(w.starts)+len(w.commits), 0)
}

// A node whose duty row has changed orders nothing more.
func TestDeposedNodeResigns(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.submit(oneTask("0000000000000001"))
	w.failCommit(&beryllatch.RowConflictError{Rows: []beryllatch.DataRow{
		{Table: DutyTable, Part: Part, Key: OwnerKey, Version: 99},
	}})
	_, resigned := w.others[len(w.others)-1].(Resign)
	assert.Assert(t, resigned)
	w.pass(5 * time.Second)
	assert.Equal(t, len(w.starts), 0)
}

// The transaction that ends a job deletes its row; if its answer is lost, the store no longer names that row.
func TestLostAnswerToTheEndOfAJob(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	start := w.confirm()[0]
	w.pass(time.Second)
	w.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	w.failCommit(&beryllatch.UnknownOutcomeError{})
	for range 5 {
		w.pass(100 * time.Millisecond)
		if len(w.commits) > 0 {
			if c := w.commits[0].Transaction; len(c.Deletes) > 0 {
				w.conflict(map[string]int64{ProgressTable + "/0000000000000001": 160})
				continue
			}
			w.store()
		}
	}
	state, _ := w.s.JobState("0000000000000001")
	assert.Equal(t, state, beryllatch.JobDone)
}

// The rows of workers that have left must go: after a takeover each row without a worker would cost a lease.
func TestRowsOfWorkersThatLeftAreDeleted(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	w.accept(oneTask("0000000000000001"))
	start := w.confirm()[0]
	id := start.Worker.ID
	info := workerInfo(id)
	info.Draining = true
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
	w.pass(time.Second)
	w.answerHolds(map[string]beryllatch.WorkerLists{id: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	w.store()
	w.pass(time.Second)
	w.answerHolds(nil)
	w.apply(RegistryChanged{Removed: []string{id}})
	deleted := false
	for range 100 {
		w.pass(100 * time.Millisecond)
		for _, c := range w.commits {
			for _, d := range c.Transaction.Deletes {
				deleted = deleted || d.Table == WorkersTable && d.Key == id
			}
		}
		w.store()
	}
	assert.Assert(t, deleted)
}

// While the store is slow, a burst of ends must not keep callers waiting for the acceptance of their jobs.
func TestAcceptanceGoesBeforeProgressOnASlowStore(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c", "d")
	jobs := make(map[string]bool)
	for n := range 60 {
		j := oneTask(fmt.Sprintf("%016x", n))
		j.Steps[0].Needs.CPUMilli = 100
		j.Steps[0].Count = 2
		w.accept(j)
		jobs[j.ID] = true
	}
	lists := make(map[string]beryllatch.WorkerLists)
	for n, f := range w.confirm() {
		l := lists[f.Worker.ID]
		if f.Order.Task[len(f.Order.Task)-1] == '0' {
			l.Finished = append(l.Finished, beryllatch.FinishedEntry{Number: int64(n + 1), Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunDone})
		} else {
			l.Running = append(l.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run})
		}
		lists[f.Worker.ID] = l
	}
	w.pass(100 * time.Millisecond)
	w.answerHolds(lists)
	w.submit(oneTask("00000000000000ff"))
	w.pass(100 * time.Millisecond)
	assert.Assert(t, len(w.commits) > 1, "a slow store gets more than one transaction")
	found := false
	for _, c := range w.commits[:2] {
		for _, p := range c.Transaction.Puts {
			found = found || p.Table == JobsTable && p.Key == "00000000000000ff"
		}
	}
	assert.Assert(t, found)
}
