package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// commitTo performs all transactions in the store and reports their outcomes.
func (h *harness) commitTo(store *modelStore) {
	h.t.Helper()
	for len(h.commits) > 0 {
		c := h.commits[0]
		h.commits = h.commits[1:]
		a := store.commit(c.Transaction)
		h.apply(Committed{Batch: c.Batch, Version: a.version, Err: a.err})
	}
}

// commitFor lets time pass, in which all transactions are performed and all holds answered with empty lists.
func (h *harness) commitFor(store *modelStore, d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickFor(500 * time.Millisecond)
		h.commitTo(store)
		h.answerHolds(nil)
	}
}

// loseCommit takes the transaction in flight, which gets no answer.
func (h *harness) loseCommit() beryllatch.RowTransaction {
	h.t.Helper()
	assert.Equal(h.t, len(h.commits), 1)
	tx := h.commits[0].Transaction
	h.failCommit(&beryllatch.UnknownOutcomeError{})
	return tx
}

// lossyStore returns a scheduler with a prepared worker, and its store.
func lossyStore(t *testing.T) (*harness, *modelStore) {
	t.Helper()
	h, store := newHarness(t), &modelStore{rows: make(storedRows), version: 100}
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	store.rows[DutyTable+"/"+OwnerKey] = beryllatch.DataRow{Table: DutyTable, Part: Part, Key: OwnerKey, Version: h.s.OwnerVersion}
	h.commitFor(store, time.Second)
	return h, store
}

// Guards against review/6: the transaction that stored a job got no answer and was performed after the job had ended and its rows had been
// deleted, so that the next scheduling node ran the job again.
func TestLateTransactionBringsNoJobBack(t *testing.T) {
	h, store := lossyStore(t)
	h.submit(singleTaskJob("0000000000000001"))
	lost := h.loseCommit()
	h.commitTo(store)
	start := h.confirmStarts()[0]
	h.tickFor(time.Second)
	h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: start.Order.Task, Run: start.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	h.commitFor(store, 2*time.Second)
	assert.Equal(t, store.row(JobsTable, "0000000000000001").Version, int64(0))
	assert.Assert(t, store.commit(lost).err != nil, "the lost transaction is performed after the deletion")

	h.commitFor(store, h.s.Limits.JobRetention+retentionMargin+time.Second)
	assert.Equal(t, store.row(ProgressTable, "0000000000000001").Version, int64(0))
	assert.Assert(t, store.commit(lost).err != nil, "the lost transaction is performed after the expiry")
	next := h.takeOver(store.rows)
	_, known := next.s.JobState("0000000000000001")
	assert.Assert(t, !known)
}

// Guards against review/6 for a job that is cancelled before a transaction that has stored it is answered: its row would be left, and run
// once the record of the cancellation has expired.
func TestCancelledJobLeavesNoRow(t *testing.T) {
	h, store := lossyStore(t)
	h.submit(singleTaskJob("0000000000000001"))
	assert.NilError(t, store.commit(h.commits[0].Transaction).err)
	h.loseCommit()
	// The next attempt gets no answer either, so that nothing shows the row before the job is cancelled.
	h.lastCall++
	h.apply(CancelRequested{Call: h.lastCall, ID: "0000000000000001"})
	h.loseCommit()
	h.commitFor(store, 2*time.Second)
	assert.NilError(t, h.answers[h.lastCall])
	assert.Equal(t, store.row(JobsTable, "0000000000000001").Version, int64(0))
	assert.Equal(t, len(h.starts), 0)
}

// Guards against review/6 for the row of a worker that leaves before the transaction that has stored it is answered.
func TestWorkerThatLeftLeavesNoRow(t *testing.T) {
	h, store := lossyStore(t)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("b")}})
	h.tickFor(100 * time.Millisecond)
	assert.NilError(t, store.commit(h.commits[0].Transaction).err)
	h.loseCommit()
	h.apply(RegistryChanged{Removed: []string{"b"}})
	h.tickFor(time.Second)
	// The next attempt gets no answer either, so that nothing shows the row before the worker is dropped.
	h.loseCommit()
	h.commitFor(store, 30*time.Second)
	assert.Equal(t, store.row(WorkersTable, "b").Version, int64(0))
}

// A job row without its progress row would be taken for a new job.
func TestExpiryDeletesBothRows(t *testing.T) {
	j := newJob(singleTaskJob("0000000000000001"))
	j.state = beryllatch.JobDone
	j.rows = jobRows{jobVersion: 5, progressVersion: 6, finalStored: true, expired: true}
	var tx beryllatch.RowTransaction
	addJobRows(&tx, j, 0)
	assert.Equal(t, len(tx.Deletes), 2)
	assert.Equal(t, len(tx.Conditions), 2)
}

// Transactions of different rows are performed side by side while no outcome is unknown, and the barrier row is written only once after one.
func TestBarrierIsWrittenOnceAfterAnUnknownOutcome(t *testing.T) {
	h, store := lossyStore(t)
	assert.Equal(t, store.row(BarrierTable, BarrierKey).Version, int64(0))
	h.submit(singleTaskJob("0000000000000001"))
	h.loseCommit()
	h.commitFor(store, time.Second)
	written := store.row(BarrierTable, BarrierKey).Version
	assert.Assert(t, written > 0)
	h.submit(singleTaskJob("0000000000000002"))
	h.commitFor(store, time.Second)
	assert.Equal(t, store.row(BarrierTable, BarrierKey).Version, written)
}
