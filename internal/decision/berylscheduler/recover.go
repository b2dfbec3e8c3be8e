package berylscheduler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// recover restores the state of the previous epoch from its rows. Tasks of the jobs may have runs already, so no task of a pool
// starts before the pool's workers have listed their runs or their leases have expired.
func (s *Scheduler) recover(e Recovered) {
	for _, r := range e.Barrier {
		s.journal.barrier.observe(r.Version)
	}
	for _, r := range e.Jobs {
		var row jobRow
		if err := json.Unmarshal(r.Value, &row); err != nil || row.ID != r.Key {
			s.holdBack(r.Key, fmt.Sprintf("job row: %v", err))
			s.jobs[r.Key].rows.jobVersion = r.Version
			continue
		}
		j := newJob(row.Job)
		j.acceptedQueue, j.acceptedCeiling, j.recovered = row.queue(), row.Ceiling, true
		j.queue = j.acceptedQueue
		j.rows = jobRows{jobVersion: r.Version, latestChange: 1, storedChange: 1, jobStored: true}
		s.jobs[j.ID] = j
	}
	for _, r := range e.Progress {
		s.recoverProgress(r)
	}
	for _, j := range s.jobs {
		if j.heldBack {
			continue
		}
		s.setMemory(j, estimateMemory(&j.Job))
		if j.state.Final() {
			s.finished = append(s.finished, j)
			if j.rows.jobVersion > 0 {
				s.jobRowsToDelete = append(s.jobRowsToDelete, j)
			} else {
				s.trim(j)
			}
		} else {
			s.active = append(s.active, j)
		}
	}
	byID := func(a, b *job) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(s.jobRowsToDelete, byID)
	slices.SortFunc(s.finished, func(a, b *job) int {
		return cmp.Or(a.endedAt.Compare(b.endedAt), strings.Compare(a.ID, b.ID))
	})
	slices.SortFunc(s.active, func(a, b *job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), strings.Compare(a.ID, b.ID))
	})
	for _, j := range s.active {
		s.team(j.Team).lastCeiling = j.acceptedCeiling
	}
	for _, r := range e.Workers {
		var info beryllatch.WorkerInfo
		if err := json.Unmarshal(r.Value, &info); err != nil {
			s.emit(Decision{Name: "row_unreadable", Worker: r.Key, Detail: err.Error()})
			continue
		}
		row := s.journal.workerRow(info.ID)
		row.version, row.value, row.stored = r.Version, r.Value, true
		s.addWorker(&worker{
			incarnation: s.newIncarnation(), info: info, storedPool: info.Pool, leasesExpireBy: s.foreignLeasesExpireBy(s.now), idleSince: s.now,
		})
	}
	s.recoverWaves(e.Waves)
	for _, j := range s.active {
		s.openSteps(j)
	}
}

// holdBack keeps a job whose stored rows can't be read: it stays known and unfinished, and none of its tasks start, since some of
// them may be done already. A node with a program that can read the rows continues it.
func (s *Scheduler) holdBack(id, detail string) {
	s.emit(Decision{Name: "row_unreadable", Job: id, Detail: detail})
	j := s.jobs[id]
	if j == nil {
		j = newJob(beryllatch.Job{ID: id})
		s.jobs[id] = j
	}
	if !j.heldBack {
		s.heldBack = append(s.heldBack, j)
	}
	j.heldBack, j.begun = true, true
	j.rows.jobStored, j.rows.latestChange, j.rows.storedChange = true, 1, 1
}

func (s *Scheduler) recoverWaves(rows []beryllatch.DataRow) {
	s.fleet.storedWaves = make(map[int]storedWave)
	for _, r := range rows {
		wave := storedWave{version: r.Version}
		n, err := strconv.Atoi(r.Key)
		if err == nil {
			err = json.Unmarshal(r.Value, &wave.waveRow)
		}
		if err != nil {
			s.emit(Decision{Name: "row_unreadable", Detail: "wave " + r.Key + ": " + err.Error()})
			continue
		}
		s.fleet.storedWaves[n] = wave
	}
}

func (s *Scheduler) recoverProgress(r beryllatch.DataRow) {
	var row progressRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		s.holdBack(r.Key, fmt.Sprintf("progress row: %v", err))
		s.jobs[r.Key].rows.progressVersion = r.Version
		return
	}
	j := s.jobs[r.Key]
	if j == nil {
		j = newJob(beryllatch.Job{ID: r.Key, Queue: row.Queue})
		j.rows = jobRows{jobStored: true}
		s.jobs[r.Key] = j
	}
	j.rows.progressVersion, j.rows.latestChange, j.rows.storedChange = r.Version, 2, 2
	j.movedPools = row.MovedPools
	if row.State.Final() {
		j.state, j.rows.finalStored = row.State, true
		// On a node whose clock differs, the job must not be kept much longer or deleted early.
		j.endedAt = notAfterNow(time.UnixMilli(row.Ended), s.now)
		return
	}
	if row.QueueSettings != nil {
		j.queue = *row.QueueSettings
	}
	for n := range j.steps {
		j.recoverDone(n, row.Steps.Done)
	}
	for _, a := range row.Steps.Ahead {
		j.recoverDone(a.Step, a.Occurrences)
	}
	for _, p := range row.Steps.Open {
		j.recoverStep(p, s.now)
	}
}

// notAfterNow returns t, or now if t is in the future; the result has the monotonic clock reading of now.
func notAfterNow(t, now time.Time) time.Time {
	if age := now.Round(0).Sub(t); age > 0 {
		return now.Add(-age)
	}
	return now
}

// recoverDone records the occurrences in which a step is done, given by ranges.
func (j *job) recoverDone(number int, ranges [][2]int) {
	if number < 0 || number >= len(j.steps) {
		return
	}
	p := &j.steps[number]
	for _, r := range ranges {
		p.done = p.done.With(max(r[0], 0), min(r[1], j.Occurrences()-1))
	}
	j.begun = j.begun || !p.done.IsEmpty()
}

// recoverStep records the progress of a step.
func (j *job) recoverStep(p progressStep, now time.Time) {
	at := stepKey{p.Occurrence, p.Step}
	if min(at.occurrence, at.number) < 0 || at.occurrence >= j.Occurrences() || at.number >= len(j.Steps) {
		return
	}
	if p.AllDone {
		j.recoverDone(at.number, [][2]int{{at.occurrence, at.occurrence}})
		return
	}
	st := j.step(at, now)
	st.failedRuns = p.FailedRuns
	for _, i := range p.Done {
		if i >= 0 && i < len(st.tasks) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.tasksLeft--
			st.tasksWaiting--
		}
	}
	for _, t := range p.Tasks {
		if t.Index >= 0 && t.Index < len(st.tasks) {
			st.tasks[t.Index].failedRuns, st.tasks[t.Index].checkpoint = t.FailedRuns, t.Checkpoint
			j.begun = j.begun || len(t.FailedRuns) > 0 || t.Checkpoint != ""
		}
	}
	if st.tasksLeft == 0 {
		j.finish(at)
	}
	j.begun = j.begun || len(p.Done) > 0 || len(p.FailedRuns) > 0
}

// recordPool records that runs of the job may be ordered in the pool, and reports whether the record is stored, so that a node that takes
// over knows all pools in which the job may have runs. The pool of the queue at the job's acceptance is stored with the job.
func (s *Scheduler) recordPool(j *job, pool string) bool {
	switch {
	case pool == j.acceptedQueue.Pool:
		return true
	case slices.Contains(j.movedPools, pool):
		return j.rows.storedChange >= j.movedPoolsChange
	}
	j.movedPools = append(j.movedPools, pool)
	s.markChanged(j)
	j.movedPoolsChange = j.rows.latestChange
	return false
}

// jobSynced reports whether the scheduler knows all runs that earlier epochs may have started for the job: no worker of a pool in which
// they may have ordered one, or of the queue's present pool, was unsynced when unsyncedPools was computed.
func (s *Scheduler) jobSynced(j *job) bool {
	return !j.recovered || !s.unsyncedPools[j.queue.Pool] && !s.unsyncedPools[j.acceptedQueue.Pool] &&
		!slices.ContainsFunc(j.movedPools, func(p string) bool { return s.unsyncedPools[p] })
}

// findUnsyncedPools returns the pools with unsynced workers, which may have runs of an earlier epoch: by their rows, and by their
// registrations, since a worker may have started again in another pool.
func (s *Scheduler) findUnsyncedPools() map[string]bool {
	out := make(map[string]bool)
	for _, w := range s.sortedWorkers {
		if !w.synced {
			out[w.info.Pool] = true
			if w.storedPool != "" {
				out[w.storedPool] = true
			}
		}
	}
	return out
}

// awaitsEarlierRuns reports whether a worker may have runs of an earlier epoch that are not known yet. One that has ended in this epoch,
// and may still get an order of this epoch, has none.
func (s *Scheduler) awaitsEarlierRuns() bool {
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return !w.synced && w.storedPool != "" })
}
