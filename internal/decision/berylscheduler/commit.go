package berylscheduler

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

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
			s.forget(j)
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
			s.emit(AnswerCall{c.call, s.notStoredRefusal(&j.Job)})
		}
		if s.shared {
			s.admission.remember(j.ID, j.Accepted)
		}
		s.forget(j)
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

func (s *Scheduler) notStoredRefusal(j *beryllatch.Job) error {
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun, RetryAfter: s.outageDelay(j),
		Detail: "the job could not be stored",
	}
}
