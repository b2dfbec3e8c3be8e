package berylscheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// failWithConflict reports a conflict of the first transaction in flight, as from a store that holds the given row versions.
func (h *harness) failWithConflict(rows map[string]int64) {
	h.t.Helper()
	c := h.commits[0]
	h.commits = h.commits[1:]
	var out []beryllatch.DataRow
	for _, r := range c.Transaction.Conditions {
		version := rows[r.Table+"/"+r.Key]
		if r.Table == DutyTable {
			version = r.Version
		}
		if version == 0 {
			// The store names only rows that exist.
			continue
		}
		out = append(out, beryllatch.DataRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: version})
	}
	h.apply(Committed{Batch: c.Batch, Err: &beryllatch.RowConflictError{Rows: out}})
}

// A worker may register again under its ID before its row is deleted. The transaction must name the row only once, or the store
// would reject every attempt.
func TestTransactionNamesEachRowOnce(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.apply(RegistryChanged{Removed: []string{"a"}})
	h.submit(singleTaskJob("0000000000000001"))
	h.tickFor(10 * time.Second)
	info := workerInfo("a")
	info.Incarnation = 2
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
	for range 10 {
		for len(h.commits) > 0 {
			seen := make(map[string]bool)
			for _, c := range h.commits[0].Transaction.Conditions {
				key := c.Table + "/" + c.Key
				assert.Assert(t, !seen[key], "%s is named twice", key)
				seen[key] = true
			}
			h.failWithConflict(map[string]int64{WorkersTable + "/a": 150})
		}
		h.tickFor(100 * time.Millisecond)
	}
	h.storeAll()
	h.tickFor(100 * time.Millisecond)
	h.storeAll()
	assert.NilError(t, h.answers[h.lastCall])
}

// If the answer to the transaction that stores a new job is lost, the next attempt meets a conflict. The job must exist once,
// and the caller must be told that it was accepted.
func TestLostAnswerOfTheStore(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.submit(singleTaskJob("0000000000000001"))
	h.failCommit(&beryllatch.UnknownOutcomeError{})
	_, answered := h.answers[h.lastCall]
	assert.Assert(t, !answered, "the job may be stored")
	assert.Equal(t, len(h.starts), 0, "a job starts once it is stored")
	h.tickFor(time.Second)
	h.failWithConflict(map[string]int64{JobsTable + "/0000000000000001": 120})
	h.tickFor(100 * time.Millisecond)
	h.storeAll()
	assert.NilError(t, h.answers[h.lastCall])
	assert.Equal(t, len(h.starts), 1)
}

// If the store answers no request at all, new jobs are refused at once instead of keeping their callers waiting.
func TestSilentStoreRefusesJobsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.submit(singleTaskJob("0000000000000001"))
	batch := h.commits[0].Batch
	h.commits = h.commits[1:]
	h.apply(Committed{Batch: batch, StoreUnresponsive: true, Err: &beryllatch.UnknownOutcomeError{}})
	h.submit(singleTaskJob("0000000000000002"))
	var f *beryllatch.Refusal
	assert.Assert(t, errors.As(h.answers[h.lastCall], &f))
	assert.Equal(t, f.RunState, beryllatch.RunStateNotRun)
	assert.Assert(t, f.RetryAfter > 0)
	_, answered := h.answers[h.lastCall-1]
	assert.Assert(t, !answered, "the first job may be stored")
}

// A job that was certainly not stored is refused as not run, and never starts.
func TestUnavailableStoreRefusesJobs(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.submit(singleTaskJob("0000000000000001"))
	h.failCommit(&beryllatch.UnavailableError{Err: errors.New("refused")})
	var refusal *beryllatch.Refusal
	assert.Assert(t, errors.As(h.answers[h.lastCall], &refusal))
	assert.Equal(t, refusal.RunState, beryllatch.RunStateNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	h.tickFor(5 * time.Second)
	assert.Equal(t, len(h.starts)+len(h.commits), 0)
}

// A node must resign when the row that names the scheduling node has changed: another node has taken over.
func TestDeposedNodeResigns(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.submit(singleTaskJob("0000000000000001"))
	h.failCommit(&beryllatch.RowConflictError{Rows: []beryllatch.DataRow{
		{Table: DutyTable, Part: Part, Key: OwnerKey, Version: 99},
	}})
	_, resigned := h.otherEffects[len(h.otherEffects)-1].(Resign)
	assert.Assert(t, resigned)
	h.tickFor(5 * time.Second)
	assert.Equal(t, len(h.starts), 0)
}

// The transaction after a job's end deletes its job row. If the answer is lost, the next attempt meets a conflict in which the
// store does not name the deleted row.
func TestLostAnswerToTheEndOfAJob(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	start := h.confirmStarts()[0]
	h.tickFor(time.Second)
	h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	h.failCommit(&beryllatch.UnknownOutcomeError{})
	for range 5 {
		h.tickFor(100 * time.Millisecond)
		if len(h.commits) > 0 {
			if c := h.commits[0].Transaction; len(c.Deletes) > 0 {
				h.failWithConflict(map[string]int64{ProgressTable + "/0000000000000001": 160})
				continue
			}
			h.storeAll()
		}
	}
	state, _ := h.s.JobState("0000000000000001")
	assert.Equal(t, state, beryllatch.JobDone)
}

// Rows of workers that have left must be deleted: a node that takes over waits for the lease of every worker that has a row but
// does not answer.
func TestRowsOfWorkersThatLeftAreDeleted(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	start := h.confirmStarts()[0]
	id := start.Worker.ID
	info := workerInfo(id)
	info.Draining = true
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
	h.tickFor(time.Second)
	h.answerHolds(map[string]beryllatch.WorkerLists{id: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	h.storeAll()
	h.tickFor(time.Second)
	h.answerHolds(nil)
	h.apply(RegistryChanged{Removed: []string{id}})
	deleted := false
	for range 100 {
		h.tickFor(100 * time.Millisecond)
		for _, c := range h.commits {
			for _, d := range c.Transaction.Deletes {
				deleted = deleted || d.Table == WorkersTable && d.Key == id
			}
		}
		h.storeAll()
	}
	assert.Assert(t, deleted)
}

// On a slow store, many completions at once must not delay the acceptance of new jobs, whose callers wait.
func TestAcceptanceGoesBeforeProgressOnASlowStore(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c", "d")
	jobs := make(map[string]bool)
	for n := range 60 {
		j := singleTaskJob(fmt.Sprintf("%016x", n))
		j.Steps[0].Needs.CPUMilli = 100
		j.Steps[0].Count = 2
		h.accept(j)
		jobs[j.ID] = true
	}
	lists := make(map[string]beryllatch.WorkerLists)
	for n, f := range h.confirmStarts() {
		l := lists[f.Worker.ID]
		if f.Order.Task[len(f.Order.Task)-1] == '0' {
			l.Finished = append(l.Finished, beryllatch.FinishedEntry{Number: int64(n + 1), Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunDone})
		} else {
			l.Running = append(l.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run})
		}
		lists[f.Worker.ID] = l
	}
	h.tickFor(100 * time.Millisecond)
	h.answerHolds(lists)
	h.submit(singleTaskJob("00000000000000ff"))
	h.tickFor(100 * time.Millisecond)
	assert.Assert(t, len(h.commits) > 1, "a slow store gets more than one transaction")
	found := false
	for _, c := range h.commits[:2] {
		for _, p := range c.Transaction.Puts {
			found = found || p.Table == JobsTable && p.Key == "00000000000000ff"
		}
	}
	assert.Assert(t, found)
}
