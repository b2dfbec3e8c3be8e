package berylscheduler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The tables of the scheduling node. All rows are in one part, so that a transaction costs the store the least.
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
	// maxBatchRows keeps a transaction, with a condition for each row, under the store's 100 entries.
	maxBatchRows = 45
	// maxBatchBytes keeps a transaction, in base64, under the store's 1 MB.
	maxBatchBytes = 500 << 10
	// maxBatches bounds the transactions in flight: the store carries out those of a part one after another, and two cover
	// the way there and back.
	maxBatches = 2
	// slowCommit is when another transaction is sent for jobs that callers wait for, slowProgress when one is sent for progress.
	slowCommit   = 40 * time.Millisecond
	slowProgress = 120 * time.Millisecond
	// commitRetry is the pause after a failed transaction.
	commitRetry = 150 * time.Millisecond
	// lostGrace is how long new jobs are still taken while the store's answers get lost, or come late: four tries, each with
	// twice the patience of the one before.
	lostGrace = 1200 * time.Millisecond
	// conflictRetry is the pause after a transaction whose row versions were outdated.
	conflictRetry = 20 * time.Millisecond
	// outageRetry is when callers may come back that the store's outage has turned away.
	outageRetry = 2 * time.Second
)

// storedJob tells how far the rows of a job are stored.
type storedJob struct {
	jobVersion      int64
	progressVersion int64
	// change counts the changes in memory, stored those that the rows hold.
	change, stored uint64
	// known is true once the job is stored, final once its final state is.
	known, final bool
	// unsure is true after a transaction of unknown outcome: a job that is not known yet may be stored.
	unsure bool
	queued bool
	// flying is true while a transaction with a row of the job is in flight.
	flying bool
	// expired asks to delete what is left of the job.
	expired bool
	calls   []waitingCall
}

// waitingCall is a caller that waits for a change to be stored.
type waitingCall struct {
	call   uint64
	change uint64
}

// journal stores changes in groups. A second transaction is sent beside the first only while the store is slow; no row is
// in two of them. While the store fails there is one: repeats of transactions that wait in its queue would keep it full.
type journal struct {
	// fresh are jobs that callers wait for; they go before the progress of others.
	fresh   []*job
	dirty   []*job
	workers []*storedWorker
	waves   []*wave
	// rows holds the rows of workers by ID; the lives of an ID share one.
	rows map[string]*storedWorker
	// batches are the transactions in flight by their number, of which last is the latest.
	batches map[uint64]*batch
	last    uint64
	// failing is true from a failed transaction to the next success.
	failing bool
	// since is when the present run of failures began.
	since   time.Time
	retryAt time.Time
}

// batch is a transaction in flight.
type batch struct {
	sent    time.Time
	jobs    []batchJob
	workers []batchWorker
	waves   []waveChange
}

// waveChange is a wave with the change that a transaction stores.
type waveChange struct {
	*wave
	change int
}

// storedWorker is the row of a worker that may be used.
type storedWorker struct {
	id string
	// version is that of the stored row; 0 means that there is none.
	version int64
	// value is what the row should hold; nil deletes it.
	value  []byte
	queued bool
	flying bool
}

type batchWorker struct {
	row   *storedWorker
	value []byte
}

type batchJob struct {
	job    *job
	change uint64
	final  bool
	put    bool
	// drop is true for the deletion of the job's own row.
	drop bool
	// touchesJob and touchesProgress tell which rows the transaction has a condition for.
	touchesJob, touchesProgress bool
}

// away reports whether the store has failed for longer than single lost answers explain.
func (n *journal) away(now time.Time) bool { return n.failing && now.Sub(n.since) >= lostGrace }

// changed notes that the rows of a job are behind.
func (s *Scheduler) changed(j *job) {
	j.row.change++
	s.journal.mark(j)
}

func (n *journal) mark(j *job) {
	switch {
	case j.row.queued || j.row.flying:
	case !j.row.known || len(j.row.calls) > 0:
		j.row.queued = true
		n.fresh = append(n.fresh, j)
	default:
		j.row.queued = true
		n.dirty = append(n.dirty, j)
	}
}

// mayCommit reports whether another transaction may be sent now.
func (n *journal) mayCommit(now time.Time) bool {
	limit := maxBatches
	if n.failing {
		limit = 1
	}
	if now.Before(n.retryAt) || len(n.batches) >= limit {
		return false
	}
	slow := slowProgress
	if len(n.fresh) > 0 {
		slow = slowCommit
	}
	for _, b := range n.batches {
		if now.Sub(b.sent) < slow {
			return false
		}
	}
	return len(n.fresh)+len(n.dirty)+len(n.workers)+len(n.waves) > 0
}

func (n *journal) markWave(w *wave) {
	if !w.queued && !w.flying {
		w.queued = true
		n.waves = append(n.waves, w)
	}
}

// workerRow returns the row of a worker ID.
func (n *journal) workerRow(id string) *storedWorker {
	r := n.rows[id]
	if r == nil {
		if n.rows == nil {
			n.rows = make(map[string]*storedWorker)
		}
		r = &storedWorker{id: id}
		n.rows[id] = r
	}
	return r
}

// setWorker asks to store a worker's row, or to delete it.
func (n *journal) setWorker(id string, value []byte) {
	r := n.workerRow(id)
	r.value = value
	n.markWorker(r)
}

func (n *journal) markWorker(r *storedWorker) {
	if !r.queued && !r.flying {
		r.queued = true
		n.workers = append(n.workers, r)
	}
}

// commit sends the next transaction if none is in flight.
func (s *Scheduler) commit() {
	n := &s.journal
	if s.resigned || !n.mayCommit(s.now) {
		return
	}
	b := &batch{sent: s.now}
	tx := beryllatch.RowTransaction{Conditions: []beryllatch.RowCondition{
		{Table: DutyTable, Part: Part, Key: OwnerKey, Version: s.OwnerVersion},
	}}
	rows, size := 0, 0
	for len(n.workers) > 0 && rows < maxBatchRows {
		r := n.workers[0]
		n.workers = n.workers[1:]
		r.queued = false
		switch {
		case r.value != nil:
			put(&tx, WorkersTable, r.id, r.version, r.value)
		case r.version > 0:
			remove(&tx, WorkersTable, r.id, r.version)
		default:
			delete(n.rows, r.id)
			continue
		}
		r.flying = true
		b.workers = append(b.workers, batchWorker{r, r.value})
		rows++
	}
	for len(n.waves) > 0 && rows < maxBatchRows {
		w := n.waves[0]
		n.waves = n.waves[1:]
		w.queued = false
		put(&tx, WavesTable, strconv.Itoa(w.Number), w.rowVersion, w.encode())
		w.flying = true
		b.waves = append(b.waves, waveChange{w, w.change})
		rows++
	}
	for _, queue := range []*[]*job{&n.fresh, &n.dirty} {
		for len(*queue) > 0 && rows+2 <= maxBatchRows && size < maxBatchBytes {
			j := (*queue)[0]
			*queue = (*queue)[1:]
			j.row.queued, j.row.flying = false, true
			before := len(tx.Conditions)
			bj, length := addJob(&tx, j)
			b.jobs = append(b.jobs, bj)
			size += length
			rows += len(tx.Conditions) - before
		}
	}
	if n.batches == nil {
		n.batches = make(map[uint64]*batch)
	}
	n.last++
	n.batches[n.last] = b
	s.emit(CommitRows{Batch: n.last, Transaction: tx})
}

func put(tx *beryllatch.RowTransaction, table, key string, version int64, value []byte) {
	tx.Conditions = append(tx.Conditions, beryllatch.RowCondition{Table: table, Part: Part, Key: key, Version: version})
	tx.Puts = append(tx.Puts, beryllatch.DataRow{Table: table, Part: Part, Key: key, Value: value})
}

func remove(tx *beryllatch.RowTransaction, table, key string, version int64) {
	c := beryllatch.RowCondition{Table: table, Part: Part, Key: key, Version: version}
	tx.Conditions = append(tx.Conditions, c)
	tx.Deletes = append(tx.Deletes, c)
}

// addJob adds the job's rows that are behind. The job's own row goes once its final state is stored.
func addJob(tx *beryllatch.RowTransaction, j *job) (batchJob, int) {
	b := batchJob{job: j, change: j.row.change, final: j.state.Final()}
	size := 0
	switch {
	case j.row.expired:
		remove(tx, ProgressTable, j.ID, j.row.progressVersion)
		b.touchesProgress = true
		return b, 0
	case b.final && j.row.jobVersion > 0 && j.running == 0 && j.row.final:
		b.drop = true
		remove(tx, JobsTable, j.ID, j.row.jobVersion)
		b.touchesJob = true
	case !b.final && j.row.jobVersion == 0:
		value := encodeJob(j)
		put(tx, JobsTable, j.ID, 0, value)
		size += len(value)
		b.put, b.touchesJob = true, true
	}
	if j.row.change > 1 || b.final {
		value := encodeProgress(j)
		put(tx, ProgressTable, j.ID, j.row.progressVersion, value)
		b.touchesProgress = true
		size += len(value)
	}
	return b, size
}

// committed takes the outcome of the transaction in flight.
func (s *Scheduler) committed(e Committed) {
	n := &s.journal
	b := n.batches[e.Batch]
	if b == nil {
		return
	}
	delete(n.batches, e.Batch)
	for _, bj := range b.jobs {
		bj.job.row.flying = false
	}
	for _, w := range b.workers {
		w.row.flying = false
	}
	for _, w := range b.waves {
		w.flying = false
	}
	if e.Err == nil {
		n.failing = false
		s.stored(b, e.Version)
		return
	}
	var conflict *beryllatch.RowConflictError
	var unknown *beryllatch.UnknownOutcomeError
	switch {
	case errors.As(e.Err, &conflict):
		n.failing = false
		n.retryAt = s.now.Add(conflictRetry)
		s.adoptVersions(b, conflict.Rows)
	case errors.As(e.Err, &unknown):
		s.commitFailed(b, true)
		if e.StoreUnresponsive {
			// More tries would only keep callers waiting.
			n.since = earliest(n.since, s.now.Add(-lostGrace))
		}
	default:
		s.commitFailed(b, false)
	}
	for _, w := range b.workers {
		n.markWorker(w.row)
	}
	for _, w := range b.waves {
		n.markWave(w.wave)
	}
	for _, bj := range b.jobs {
		if s.jobs[bj.job.ID] == bj.job {
			n.mark(bj.job)
		}
	}
}

func (s *Scheduler) stored(b *batch, version int64) {
	for _, w := range b.workers {
		w.row.version = version
		if w.value == nil {
			w.row.version = 0
			if w.row.value == nil {
				delete(s.journal.rows, w.row.id)
			}
		}
		if !bytes.Equal(w.row.value, w.value) {
			s.journal.markWorker(w.row)
		}
		s.placeable = true
	}
	for _, w := range b.waves {
		w.rowVersion = version
		if w.wave.change != w.change {
			s.journal.markWave(w.wave)
		}
	}
	for _, bj := range b.jobs {
		j := bj.job
		switch {
		case j.row.expired:
			delete(s.jobs, j.ID)
			continue
		case bj.final:
			j.row.final = true
			if bj.drop {
				j.row.jobVersion = 0
			}
		case bj.put:
			j.row.jobVersion = version
		}
		if bj.change > 1 || bj.final {
			j.row.progressVersion = version
		}
		if !j.row.known {
			j.row.known = true
			s.placeable = true
			s.emit(Decision{Name: "job_stored", Job: j.ID, Age: s.now.Sub(j.Accepted)})
		}
		j.row.unsure = false
		j.row.stored = bj.change
		s.answerStored(j)
		if j.row.change != bj.change {
			s.journal.mark(j)
		}
	}
	for _, w := range s.ordered {
		s.holdDue(w)
	}
}

// answerStored ends the wait of the callers whose change is stored.
func (s *Scheduler) answerStored(j *job) {
	kept := j.row.calls[:0]
	for _, c := range j.row.calls {
		if c.change <= j.row.stored {
			s.emit(AnswerCall{Call: c.call})
		} else {
			kept = append(kept, c)
		}
	}
	j.row.calls = kept
}

// adoptVersions takes the present versions of rows that an earlier transaction of this epoch has changed after all. The
// store names the present rows only: a row that it doesn't name does not exist.
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
	for _, w := range b.workers {
		w.row.version = versions[id{WorkersTable, w.row.id}]
	}
	for _, w := range b.waves {
		w.rowVersion = versions[id{WavesTable, strconv.Itoa(w.Number)}]
	}
	for _, bj := range b.jobs {
		if bj.touchesJob {
			bj.job.row.jobVersion = versions[id{JobsTable, bj.job.ID}]
		}
		if bj.touchesProgress {
			bj.job.row.progressVersion = versions[id{ProgressTable, bj.job.ID}]
		}
	}
	s.emit(Decision{Name: "row_versions_adopted", Detail: fmt.Sprintf("%d rows, %d present", len(b.jobs)+len(b.workers), len(rows))})
}

// commitFailed refuses the jobs that surely were not stored; those of unknown outcome stay.
func (s *Scheduler) commitFailed(b *batch, unknown bool) {
	n := &s.journal
	if !n.failing {
		n.since = s.now
		s.emit(Decision{Name: "store_failing"})
	}
	n.failing = true
	n.retryAt = s.now.Add(commitRetry)
	if unknown {
		n.retryAt = s.now
	}
	for _, bj := range b.jobs {
		j := bj.job
		if unknown {
			j.row.unsure = true
			continue
		}
		if j.row.known || j.row.unsure {
			continue
		}
		for _, c := range j.row.calls {
			s.emit(AnswerCall{c.call, notStored()})
		}
		delete(s.jobs, j.ID)
		s.removeActive(j)
		s.emit(Decision{Name: "job_refused", Job: j.ID, Detail: "the store is unavailable"})
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func notStored() error {
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun, RetryAfter: outageRetry,
		Detail: "the job could not be stored",
	}
}

// jobRow is the stored form of a job.
type jobRow struct {
	beryllatch.Job
	Pool string `json:"pool"`
}

func encodeJob(j *job) []byte { return mustEncode(jobRow{j.Job, j.pool}) }

// mustEncode encodes types of this package, which have no field that cannot be encoded.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// progressRow is the stored form of a job's progress.
type progressRow struct {
	State beryllatch.JobState `json:"state"`
	// Ended is the Unix millisecond of the final state.
	Ended int64 `json:"ended,omitempty"`
	// Queue serves final jobs, whose own row is gone.
	Queue string         `json:"queue,omitempty"`
	Steps []progressStep `json:"steps,omitempty"`
}

type progressStep struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	// FailedRuns are the failed runs of a gang.
	FailedRuns []int `json:"failed_runs,omitempty"`
	// AllDone replaces the list of tasks.
	AllDone bool           `json:"all,omitempty"`
	Done    []int          `json:"done,omitempty"`
	Tasks   []progressTask `json:"tasks,omitempty"`
}

type progressTask struct {
	Index      int    `json:"i"`
	FailedRuns []int  `json:"f,omitempty"`
	Saved      string `json:"c,omitempty"`
}

func encodeProgress(j *job) []byte {
	row := progressRow{State: j.state}
	if j.state.Final() {
		row.Ended, row.Queue = j.ended.UnixMilli(), j.Queue
		return mustEncode(row)
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			if p, ok := st.progress(); ok {
				row.Steps = append(row.Steps, p)
			}
		}
	}
	return mustEncode(row)
}

// progress returns the stored form of a step, and false if there is nothing to store.
func (st *stepRun) progress() (progressStep, bool) {
	p := progressStep{Occurrence: st.occurrence, Step: st.number, FailedRuns: st.failedRuns}
	if st.left == 0 {
		p.AllDone = true
		return p, true
	}
	for _, t := range st.tasks {
		if t.done {
			p.Done = append(p.Done, t.index)
		} else if len(t.failedRuns) > 0 || t.saved != "" {
			p.Tasks = append(p.Tasks, progressTask{t.index, t.failedRuns, t.saved})
		}
	}
	return p, len(p.FailedRuns)+len(p.Done)+len(p.Tasks) > 0
}
