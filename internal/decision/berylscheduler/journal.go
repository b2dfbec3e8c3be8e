package berylscheduler

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The tables of the scheduling node. All rows are in one part of the store, which makes transactions cheapest.
const (
	Part          = "fleet"
	DutyTable     = "duty"
	OwnerKey      = "scheduler"
	JobsTable     = "jobs"
	ProgressTable = "progress"
	WorkersTable  = "used_workers"
	WavesTable    = "waves"
)

const (
	// maxBatchRows keeps a transaction, which has a condition for each row, below the store's limit of 100 entries.
	maxBatchRows = 45
	// maxBatchBytes keeps a transaction, encoded in base64, below the store's limit of 1 MB.
	maxBatchBytes = 500 << 10
	// maxBatchesInFlight limits the transactions in flight. The store carries out the transactions of a part one after another;
	// with two in flight it has work while an answer travels.
	maxBatchesInFlight = 2
	// A second transaction is sent if the first has taken awaitedBatchDelay and callers wait for new jobs, or if it has taken
	// progressBatchDelay.
	awaitedBatchDelay  = 40 * time.Millisecond
	progressBatchDelay = 120 * time.Millisecond
	// commitRetryPause is the pause after a transaction that certainly changed nothing.
	commitRetryPause = 150 * time.Millisecond
	// outageThreshold is how long answers of the store may be lost or late before new jobs are refused: enough for four
	// attempts, each with twice the time-out of the one before.
	outageThreshold = 1200 * time.Millisecond
	// conflictRetryPause is the pause after a transaction that failed because it expected outdated row versions.
	conflictRetryPause = 20 * time.Millisecond
	// outageRetryAfter is the retry time in refusals because of an outage of the store, an outdated configuration or too many
	// unfinished jobs.
	outageRetryAfter = 2 * time.Second
)

// jobRows is the state of the rows of a job: its job row and its progress row.
type jobRows struct {
	jobVersion      int64
	progressVersion int64
	// latestChange is the number of the last change in memory, storedChange that of the last one in the rows.
	latestChange, storedChange uint64
	// jobStored is true once the job is known to be stored, finalStored once its final state is.
	jobStored, finalStored bool
	// outcomeUnknown is true after a transaction whose outcome is unknown: the job may be stored even if jobStored is false.
	outcomeUnknown bool
	queued         bool
	// inFlight is true while a transaction with one of the rows is in flight.
	inFlight bool
	// expired is true once the retention is over; the next transaction deletes the progress row.
	expired bool
	// progressSize is the size of the last progress row in bytes.
	progressSize int
	// tooLarge is true once the progress was too large to be stored.
	tooLarge     bool
	waitingCalls []waitingCall
}

// waitingCall is a call that is answered once the change is stored.
type waitingCall struct {
	call   uint64
	change uint64
}

// journal stores changes in batches. While the store is slow, a second transaction is sent before the first is answered, with
// other rows. While the store fails there is only one: the store queues transactions, and repeats would keep the queue full. There is
// only one, too, that writes the barrier row.
type journal struct {
	// awaitedJobs are changed jobs that callers wait for; they are stored before changedJobs.
	awaitedJobs    []*job
	changedJobs    []*job
	changedWorkers []*workerRow
	changedWaves   []*wave
	// workerRows holds the rows of workers by ID; all incarnations of a worker ID share one row.
	workerRows map[string]*workerRow
	barrier    barrier
	// batches holds the transactions in flight by number; lastBatch is the number of the latest one.
	batches   map[uint64]*batch
	lastBatch uint64
	// failing is true from a failed transaction until the store answers one.
	failing bool
	// failingSince is when the first of the present failures came.
	failingSince time.Time
	retryAt      time.Time
}

// batch is a transaction in flight.
type batch struct {
	sentAt time.Time
	// writesBarrier is true if the transaction writes the barrier row.
	writesBarrier bool
	jobs          []batchJob
	workers       []batchWorker
	waves         []waveChange
}

// waveChange is a wave and the number of the change that a transaction stores.
type waveChange struct {
	*wave
	change int
}

// workerRow is the row of a worker. It is stored before the worker gets its first run, so that a node that takes over knows all
// workers with runs.
type workerRow struct {
	id string
	// version is the version of the stored row, 0 if there is none.
	version int64
	// stored is true while the store certainly has the row: from a confirmed write of its value to the next attempt to delete it, or
	// until the worker has another pool.
	stored bool
	// value is what the row should contain; nil means that it should not exist.
	value    []byte
	queued   bool
	inFlight bool
}

type batchWorker struct {
	row   *workerRow
	value []byte
}

type batchJob struct {
	job         *job
	change      uint64
	storesFinal bool
	putsJobRow  bool
	// deletesJobRow is true if the transaction deletes the job row.
	deletesJobRow bool
	// conditionOnJob and conditionOnProgress are true if the transaction has a condition on the job row or on the progress row.
	conditionOnJob, conditionOnProgress bool
}

// unavailable reports whether the store has failed for longer than a few lost answers can explain.
func (n *journal) unavailable(now time.Time) bool {
	return n.failing && now.Sub(n.failingSince) >= outageThreshold
}

// markChanged records a change of the job that has to be stored.
func (s *Scheduler) markChanged(j *job) {
	if j.heldBack && !j.state.Final() {
		// What is stored must not be replaced by the little that is known.
		return
	}
	j.rows.latestChange++
	s.journal.queueJob(j)
}

func (n *journal) queueJob(j *job) {
	switch {
	case j.rows.queued || j.rows.inFlight:
	case !j.rows.jobStored || len(j.rows.waitingCalls) > 0:
		j.rows.queued = true
		n.awaitedJobs = append(n.awaitedJobs, j)
	default:
		j.rows.queued = true
		n.changedJobs = append(n.changedJobs, j)
	}
}

// mayCommit reports whether another transaction may be sent now.
func (n *journal) mayCommit(now time.Time) bool {
	limit := maxBatchesInFlight
	if n.failing || n.barrier.outdated {
		limit = 1
	}
	if now.Before(n.retryAt) || len(n.batches) >= limit {
		return false
	}
	delay := progressBatchDelay
	if len(n.awaitedJobs) > 0 {
		delay = awaitedBatchDelay
	}
	for _, b := range n.batches {
		if now.Sub(b.sentAt) < delay {
			return false
		}
	}
	return len(n.awaitedJobs)+len(n.changedJobs)+len(n.changedWorkers)+len(n.changedWaves) > 0
}

func (n *journal) queueWave(w *wave) {
	if !w.queued && !w.inFlight {
		w.queued = true
		n.changedWaves = append(n.changedWaves, w)
	}
}

// workerRow returns the row of a worker ID, which may not be stored yet.
func (n *journal) workerRow(id string) *workerRow {
	r := n.workerRows[id]
	if r == nil {
		if n.workerRows == nil {
			n.workerRows = make(map[string]*workerRow)
		}
		r = &workerRow{id: id}
		n.workerRows[id] = r
	}
	return r
}

// setWorkerRow sets what the row of a worker should contain; nil deletes it.
func (n *journal) setWorkerRow(id string, value []byte) {
	r := n.workerRow(id)
	r.value = value
	n.queueWorker(r)
}

// forgetWorkerRow removes a row that is not stored and should not be. A worker that has returned meanwhile keeps it.
func (s *Scheduler) forgetWorkerRow(r *workerRow) {
	if s.workers[r.id] == nil {
		delete(s.journal.workerRows, r.id)
	}
}

func (n *journal) queueWorker(r *workerRow) {
	if !r.queued && !r.inFlight {
		r.queued = true
		n.changedWorkers = append(n.changedWorkers, r)
	}
}

// commit sends the waiting changes in a transaction, if one may be sent now.
func (s *Scheduler) commit() {
	n := &s.journal
	if s.resigned || !n.mayCommit(s.now) {
		return
	}
	b := &batch{sentAt: s.now}
	tx := beryllatch.RowTransaction{Conditions: []beryllatch.RowCondition{
		{Table: DutyTable, Part: Part, Key: OwnerKey, Version: s.OwnerVersion},
	}}
	b.writesBarrier = n.barrier.guard(&tx, s.Epoch)
	rows, size := 0, 0
	for len(n.changedWorkers) > 0 && rows < maxBatchRows {
		r := n.changedWorkers[0]
		n.changedWorkers = n.changedWorkers[1:]
		r.queued = false
		switch {
		case r.value != nil:
			addPut(&tx, WorkersTable, r.id, r.version, r.value)
		case r.version > 0:
			r.stored = false
			addDelete(&tx, WorkersTable, r.id, r.version)
		case n.barrier.outdated:
			// A transaction of unknown outcome may have stored the row; a conflict shows it.
			addCondition(&tx, WorkersTable, r.id, 0)
		default:
			s.forgetWorkerRow(r)
			continue
		}
		r.inFlight = true
		b.workers = append(b.workers, batchWorker{r, r.value})
		rows++
	}
	for len(n.changedWaves) > 0 && rows < maxBatchRows {
		w := n.changedWaves[0]
		n.changedWaves = n.changedWaves[1:]
		w.queued = false
		addPut(&tx, WavesTable, strconv.Itoa(w.Number), w.rowVersion, w.encode())
		w.inFlight = true
		b.waves = append(b.waves, waveChange{w, w.change})
		rows++
	}
	for _, queue := range []*[]*job{&n.awaitedJobs, &n.changedJobs} {
		for len(*queue) > 0 && rows+2 <= maxBatchRows && size < maxBatchBytes {
			j := (*queue)[0]
			*queue = (*queue)[1:]
			j.rows.queued = false
			before := len(tx.Conditions)
			bj, length := addJobRows(&tx, j, s.Limits.RowBytes)
			if length < 0 {
				s.recordTooLarge(j)
				continue
			}
			j.rows.inFlight = true
			b.jobs = append(b.jobs, bj)
			size += length
			rows += len(tx.Conditions) - before
		}
	}
	if len(b.jobs)+len(b.workers)+len(b.waves) == 0 {
		return
	}
	if n.batches == nil {
		n.batches = make(map[uint64]*batch)
	}
	n.lastBatch++
	n.batches[n.lastBatch] = b
	s.emit(CommitRows{Batch: n.lastBatch, Transaction: tx})
}

// committed handles the outcome of a transaction.
func (s *Scheduler) committed(e Committed) {
	n := &s.journal
	b := n.batches[e.Batch]
	if b == nil {
		return
	}
	delete(n.batches, e.Batch)
	for _, bj := range b.jobs {
		bj.job.rows.inFlight = false
	}
	for _, w := range b.workers {
		w.row.inFlight = false
	}
	for _, w := range b.waves {
		w.inFlight = false
	}
	if e.Err == nil {
		n.failing = false
		s.recordProof(b.sentAt)
		if b.writesBarrier {
			n.barrier.observe(e.Version)
		}
		s.applyStored(b, e.Version)
		return
	}
	var conflict *beryllatch.RowConflictError
	var unknown *beryllatch.UnknownOutcomeError
	switch {
	case errors.As(e.Err, &conflict):
		n.failing = false
		n.retryAt = s.now.Add(conflictRetryPause)
		s.adoptVersions(b, conflict.Rows)
	case errors.As(e.Err, &unknown):
		s.commitFailed(b, true)
		if e.StoreUnresponsive {
			// The store answers no other request either, so more attempts would only keep callers waiting.
			n.failingSince = earlierTime(n.failingSince, s.now.Add(-outageThreshold))
		}
	default:
		s.commitFailed(b, false)
	}
	for _, w := range b.workers {
		n.queueWorker(w.row)
	}
	for _, w := range b.waves {
		n.queueWave(w.wave)
	}
	for _, bj := range b.jobs {
		if s.jobs[bj.job.ID] == bj.job {
			n.queueJob(bj.job)
		}
	}
}

func (s *Scheduler) applyStored(b *batch, version int64) {
	for _, w := range b.workers {
		w.row.version, w.row.stored = version, w.value != nil && bytes.Equal(w.row.value, w.value)
		if w.value == nil {
			w.row.version = 0
			if w.row.value == nil {
				s.forgetWorkerRow(w.row)
			}
		}
		if !bytes.Equal(w.row.value, w.value) {
			s.journal.queueWorker(w.row)
		}
		s.placementDue = true
	}
	for _, w := range b.waves {
		w.rowVersion, w.storedChange = version, w.change
		if w.wave.change != w.change {
			s.journal.queueWave(w.wave)
		}
	}
	for _, bj := range b.jobs {
		j := bj.job
		switch {
		case j.rows.expired:
			delete(s.jobs, j.ID)
			continue
		case bj.storesFinal:
			j.rows.finalStored = true
			if bj.deletesJobRow {
				j.rows.jobVersion = 0
			}
		case bj.putsJobRow:
			j.rows.jobVersion = version
		}
		if bj.change > 1 || bj.storesFinal {
			j.rows.progressVersion = version
		}
		s.placementDue = s.placementDue || j.movedPoolsChange > j.rows.storedChange
		if !j.rows.jobStored {
			j.rows.jobStored = true
			s.placementDue = true
			s.emit(Decision{Name: "job_stored", Job: j.ID, Age: s.now.Sub(j.Accepted)})
		}
		j.rows.outcomeUnknown = false
		j.rows.storedChange = bj.change
		s.answerStored(j)
		if j.rows.latestChange != bj.change {
			s.journal.queueJob(j)
		}
	}
	s.acknowledgeStored()
}

// answerStored answers the callers whose change is stored.
func (s *Scheduler) answerStored(j *job) {
	kept := j.rows.waitingCalls[:0]
	for _, c := range j.rows.waitingCalls {
		if c.change <= j.rows.storedChange {
			s.emit(AnswerCall{Call: c.call})
		} else {
			kept = append(kept, c)
		}
	}
	j.rows.waitingCalls = kept
}

// adoptVersions takes over the stored row versions after a conflict: an earlier transaction of this epoch, reported as failed
// or unknown, has been carried out. The store names only rows that exist. If the owner row has another version, another node
// has taken over.
func (s *Scheduler) adoptVersions(b *batch, rows []beryllatch.DataRow) {
	type id struct{ table, key string }
	versions := make(map[id]int64, len(rows))
	for _, r := range rows {
		if !r.Deleted {
			versions[id{r.Table, r.Key}] = r.Version
		}
	}
	if versions[id{DutyTable, OwnerKey}] != s.OwnerVersion {
		s.resign("another node has taken over")
		return
	}
	s.journal.barrier.observe(versions[id{BarrierTable, BarrierKey}])
	for _, w := range b.workers {
		w.row.version = versions[id{WorkersTable, w.row.id}]
		w.row.stored = w.row.stored && w.row.version > 0
	}
	for _, w := range b.waves {
		w.rowVersion = versions[id{WavesTable, strconv.Itoa(w.Number)}]
	}
	for _, bj := range b.jobs {
		if bj.conditionOnJob {
			bj.job.rows.jobVersion = versions[id{JobsTable, bj.job.ID}]
		}
		if bj.conditionOnProgress {
			bj.job.rows.progressVersion = versions[id{ProgressTable, bj.job.ID}]
		}
	}
	s.emit(Decision{Name: "row_versions_adopted", Detail: fmt.Sprintf("%d rows, %d present", len(b.jobs)+len(b.workers), len(rows))})
}

// commitFailed refuses the new jobs of a transaction that certainly changed nothing. After an unknown outcome they may be
// stored, so their callers keep waiting.
func (s *Scheduler) commitFailed(b *batch, unknown bool) {
	n := &s.journal
	if !n.failing {
		n.failingSince = s.now
		s.emit(Decision{Name: "store_failing"})
	}
	n.failing = true
	n.retryAt = s.now.Add(commitRetryPause)
	if unknown {
		n.retryAt = s.now
		n.barrier.outdated = true
	}
	for _, bj := range b.jobs {
		j := bj.job
		if unknown {
			j.rows.outcomeUnknown = true
			continue
		}
		if j.rows.jobStored || j.rows.outcomeUnknown {
			continue
		}
		for _, c := range j.rows.waitingCalls {
			s.emit(AnswerCall{c.call, notStoredRefusal()})
		}
		delete(s.jobs, j.ID)
		s.removeActive(j)
		s.emit(Decision{Name: "job_refused", Job: j.ID, Detail: "the store is unavailable"})
	}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func notStoredRefusal() error {
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun, RetryAfter: outageRetryAfter,
		Detail: "the job could not be stored",
	}
}
