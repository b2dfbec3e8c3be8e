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
	Done [][2]int
	// Ahead holds, for each step that is also done in other occurrences, the ranges of these.
	Ahead []stepRanges
	// Open holds the steps that are not done and have progress; while there is no range, also those that are done.
	Open []progressStep
}

// stepRanges holds the first and the last number of each range of occurrences of a step.
type stepRanges struct {
	Step        int      `json:"s"`
	Occurrences [][2]int `json:"k"`
}

// doneAndAhead is the stored form of the ranges if Ahead is not empty; else they are stored as a list. A program that knows the list only can't
// read this form.
type doneAndAhead struct {
	All   [][2]int     `json:"all,omitempty"`
	Ahead []stepRanges `json:"ahead"`
}

// progressObject is the stored form of progress with ranges.
type progressObject struct {
	Done any            `json:"done"`
	Open []progressStep `json:"open,omitempty"`
}

// IsZero reports whether there is no progress.
func (p progressSteps) IsZero() bool { return len(p.Done)+len(p.Ahead)+len(p.Open) == 0 }

// MarshalJSON encodes the progress.
func (p progressSteps) MarshalJSON() ([]byte, error) {
	switch {
	case len(p.Ahead) > 0:
		return json.Marshal(progressObject{doneAndAhead{p.Done, p.Ahead}, p.Open})
	case len(p.Done) > 0:
		return json.Marshal(progressObject{p.Done, p.Open})
	}
	return json.Marshal(p.Open)
}

// UnmarshalJSON decodes all forms.
func (p *progressSteps) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, &p.Open)
	}
	var done json.RawMessage
	o := progressObject{Done: &done}
	if err := json.Unmarshal(b, &o); err != nil {
		return err
	}
	p.Open = o.Open
	if bytes.HasPrefix(done, []byte("[")) {
		return json.Unmarshal(done, &p.Done)
	}
	var d doneAndAhead
	if err := json.Unmarshal(done, &d); err != nil {
		return err
	}
	p.Done, p.Ahead = d.All, d.Ahead
	return nil
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
	row.Steps.addDone(j)
	for _, st := range j.open {
		if p, ok := st.progress(); ok {
			row.Steps.Open = append(row.Steps.Open, p)
		}
	}
	return mustEncode(row)
}

// addDone adds the steps that are done.
func (p *progressSteps) addDone(j *job) {
	if j.Occurrences() == 1 {
		for n := range j.steps {
			if j.isDone(stepKey{0, n}) {
				p.Open = append(p.Open, progressStep{Step: n, AllDone: true})
			}
		}
		return
	}
	all := j.steps[0].done
	for _, step := range j.steps[1:] {
		all = all.And(step.done)
	}
	p.Done = all.Ranges()
	for n, step := range j.steps {
		if ahead := step.done.Minus(all); !ahead.IsEmpty() {
			p.Ahead = append(p.Ahead, stepRanges{n, ahead.Ranges()})
		}
	}
}

// progress returns the stored form of a step, and false if the step has no progress.
func (st *stepState) progress() (progressStep, bool) {
	p := progressStep{Occurrence: st.occurrence, Step: st.number, FailedRuns: st.failedRuns}
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
		progress = encodeProgress(j)
		j.rows.progressSize = len(progress)
		if limit > 0 && len(progress) > limit {
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
