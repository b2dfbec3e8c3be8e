package berylscheduler

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/beryllatch/beryllatch"
)

// jobRow is the stored form of a job.
type jobRow struct {
	beryllatch.Job
	Pool string `json:"pool"`
	// QueueSettings holds the settings of the queue at the job's acceptance, without its name and pool. Rows of earlier programs lack it.
	QueueSettings beryllatch.JobQueue `json:"queue_settings,omitzero"`
	// Ceiling is the ceiling of the job's team at its acceptance.
	Ceiling beryllatch.Resources `json:"ceiling,omitzero"`
}

func encodeJob(j *job) []byte {
	row := jobRow{Job: j.Job, Pool: j.acceptedQueue.Pool, QueueSettings: j.acceptedQueue, Ceiling: j.acceptedCeiling}
	row.QueueSettings.Name, row.QueueSettings.Pool = "", ""
	return mustEncode(row)
}

// queue returns the settings of the queue at the job's acceptance.
func (r *jobRow) queue() beryllatch.JobQueue {
	q := r.QueueSettings
	q.Name, q.Pool = r.Queue, r.Pool
	return q
}

// mustEncode encodes types of this package as JSON; none of them has a field that cannot be encoded.
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
	// Ended is when the final state was reached, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Queue is set for final jobs, whose job row is deleted.
	Queue string `json:"queue,omitempty"`
	// QueueSettings holds the last known settings of the queue, if they differ from those at the job's acceptance.
	QueueSettings *beryllatch.JobQueue `json:"queue_settings,omitempty"`
	// MovedPools is as in job.
	MovedPools []string `json:"moved_pools,omitempty"`
	// Steps is the progress of a job that has not ended.
	Steps progressSteps `json:"steps,omitzero"`
}

// progressSteps is the progress of a job's steps. While no occurrence is done it is stored as a list of steps, else as an object: a program
// that knows the list only can't read the row then, and holds the job back instead of running it again.
type progressSteps struct {
	// Done holds the first and the last number of each range of occurrences that are done.
	Done [][2]int `json:"done"`
	// Open holds the steps with progress of the other occurrences.
	Open []progressStep `json:"open,omitempty"`
}

// IsZero reports whether there is no progress.
func (p progressSteps) IsZero() bool { return len(p.Done)+len(p.Open) == 0 }

// MarshalJSON encodes the progress.
func (p progressSteps) MarshalJSON() ([]byte, error) {
	if len(p.Done) == 0 {
		return json.Marshal(p.Open)
	}
	type object progressSteps
	return json.Marshal(object(p))
}

// UnmarshalJSON decodes both forms.
func (p *progressSteps) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, &p.Open)
	}
	type object progressSteps
	return json.Unmarshal(b, (*object)(p))
}

type progressStep struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	// FailedRuns holds the numbers of the failed runs of a gang.
	FailedRuns []int `json:"failed_runs,omitempty"`
	// AllDone replaces Done when all tasks are done.
	AllDone bool           `json:"all,omitempty"`
	Done    []int          `json:"done,omitempty"`
	Tasks   []progressTask `json:"tasks,omitempty"`
}

type progressTask struct {
	Index      int    `json:"i"`
	FailedRuns []int  `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

func encodeProgress(j *job) []byte {
	row := progressRow{State: j.state, MovedPools: j.movedPools}
	if j.state.Final() {
		row.Ended, row.Queue = j.endedAt.UnixMilli(), j.Queue
		return mustEncode(row)
	}
	if j.queue != j.acceptedQueue {
		row.QueueSettings = &j.queue
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		if o.stepsLeft == 0 {
			row.Steps.addDone(o.number)
			continue
		}
		for _, st := range o.steps {
			if p, ok := st.progress(); ok {
				row.Steps.Open = append(row.Steps.Open, p)
			}
		}
	}
	return mustEncode(row)
}

// addDone adds an occurrence above those that were added before.
func (p *progressSteps) addDone(k int) {
	if n := len(p.Done); n > 0 && p.Done[n-1][1] == k-1 {
		p.Done[n-1][1] = k
		return
	}
	p.Done = append(p.Done, [2]int{k, k})
}

// progress returns the stored form of a step, and false if the step has no progress.
func (st *stepState) progress() (progressStep, bool) {
	p := progressStep{Occurrence: st.occurrence, Step: st.number, FailedRuns: st.failedRuns}
	if st.tasksLeft == 0 {
		p.AllDone = true
		return p, true
	}
	for _, t := range st.tasks {
		if t.done {
			p.Done = append(p.Done, t.index)
		} else if len(t.failedRuns) > 0 || t.checkpoint != "" {
			p.Tasks = append(p.Tasks, progressTask{t.index, t.failedRuns, t.checkpoint})
		}
	}
	return p, len(p.FailedRuns)+len(p.Done)+len(p.Tasks) > 0
}

func addCondition(tx *beryllatch.RowTransaction, table, key string, version int64) {
	tx.Conditions = append(tx.Conditions, beryllatch.RowCondition{Table: table, Part: Part, Key: key, Version: version})
}

func addPut(tx *beryllatch.RowTransaction, table, key string, version int64, value []byte) {
	addCondition(tx, table, key, version)
	tx.Puts = append(tx.Puts, beryllatch.DataRow{Table: table, Part: Part, Key: key, Value: value})
}

func addDelete(tx *beryllatch.RowTransaction, table, key string, version int64) {
	c := beryllatch.RowCondition{Table: table, Part: Part, Key: key, Version: version}
	tx.Conditions = append(tx.Conditions, c)
	tx.Deletes = append(tx.Deletes, c)
}

// recordTooLarge logs a job whose progress is too large to be stored. It is stored with a later change if it fits then: one row that the
// store refuses would keep all others of the transaction from being stored.
func (s *Scheduler) recordTooLarge(j *job) {
	if !j.rows.tooLarge {
		j.rows.tooLarge = true
		s.emit(Decision{Name: "row_too_large", Job: j.ID, Detail: fmt.Sprintf("the progress takes more than %d bytes", s.Limits.RowBytes)})
	}
}

// addJobRows adds the outdated rows of the job to the transaction, and returns the size of their values in bytes. The job row
// is deleted once the final state is stored and no run is left. If the progress takes more bytes than the limit, nothing is added and the
// size is -1; a limit of 0 is none.
func addJobRows(tx *beryllatch.RowTransaction, j *job, limit int) (batchJob, int) {
	b := batchJob{job: j, change: j.rows.latestChange, storesFinal: j.state.Final()}
	size := 0
	var progress []byte
	if !j.rows.expired && (j.rows.latestChange > 1 || b.storesFinal) {
		if progress = encodeProgress(j); limit > 0 && len(progress) > limit {
			return b, -1
		}
	}
	switch {
	case j.rows.expired:
		// Without its progress row, a job row that is left would be taken for a new job.
		if j.rows.jobVersion > 0 {
			addDelete(tx, JobsTable, j.ID, j.rows.jobVersion)
			b.conditionOnJob = true
		}
		addDelete(tx, ProgressTable, j.ID, j.rows.progressVersion)
		b.conditionOnProgress = true
		return b, 0
	case b.storesFinal && j.rows.jobVersion > 0 && j.bookedRuns == 0 && j.rows.finalStored:
		b.deletesJobRow = true
		addDelete(tx, JobsTable, j.ID, j.rows.jobVersion)
		b.conditionOnJob = true
	case b.storesFinal && j.rows.jobVersion == 0 && j.rows.outcomeUnknown:
		// The job may have been stored before it ended; a conflict shows its row, which has to be deleted.
		addCondition(tx, JobsTable, j.ID, 0)
		b.conditionOnJob = true
	case !b.storesFinal && j.rows.jobVersion == 0:
		value := encodeJob(j)
		addPut(tx, JobsTable, j.ID, 0, value)
		size += len(value)
		b.putsJobRow, b.conditionOnJob = true, true
	}
	if progress != nil {
		addPut(tx, ProgressTable, j.ID, j.rows.progressVersion, progress)
		b.conditionOnProgress = true
		size += len(progress)
	}
	return b, size
}
