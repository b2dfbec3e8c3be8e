package berylscheduler

import "time"

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
