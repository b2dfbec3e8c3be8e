package berylscheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// stepsLeft returns the number of steps that are not done in an occurrence.
func (j *job) stepsLeft(occurrence int) int {
	n := 0
	for i := range j.steps {
		if !j.isDone(stepKey{occurrence, i}) {
			n++
		}
	}
	return n
}

// Guards against review/2: the row of a job with many past occurrences outgrew the limit of the store, which then refused every
// transaction, so that no progress of any job was stored any more.
func TestProgressOfPastOccurrencesStaysSmall(t *testing.T) {
	const occurrences, steps = 5000, 10
	job := singleTaskJob("0000000000000001")
	job.Repeat, job.First, job.Interval = occurrences, time.Unix(1_800_000_000, 0), 200*time.Millisecond
	for range steps - 1 {
		job.Steps = append(job.Steps, job.Steps[0])
	}
	j := newJob(job)
	for k := range occurrences {
		if k%1000 == 999 {
			continue
		}
		for i := range steps {
			j.recoverStep(progressStep{Occurrence: k, Step: i, AllDone: true}, time.Time{})
		}
	}
	j.recoverStep(progressStep{Occurrence: 999, Step: 3, AllDone: true}, time.Time{})
	value := encodeProgress(j)
	assert.Assert(t, len(value) < 1000, "%d bytes", len(value))

	s := testScheduler(2, 8)
	s.Apply(time.Unix(1_800_001_000, 0), Recovered{
		Jobs:     []beryllatch.DataRow{{Key: j.ID, Value: encodeJob(j), Version: 1}},
		Progress: []beryllatch.DataRow{{Key: j.ID, Value: value, Version: 2}},
	})
	again := s.jobs[j.ID]
	for k := range occurrences {
		left := 0
		switch {
		case k == 999:
			left = steps - 1
		case k%1000 == 999:
			left = steps
		}
		assert.Equal(t, again.stepsLeft(k), left, "occurrence %d", k)
	}
}

// A row in the form of earlier programs must be read; a program that knows that form only must not take a job for one without progress.
func TestProgressRowsOfEarlierPrograms(t *testing.T) {
	var row progressRow
	assert.NilError(t, json.Unmarshal([]byte(`{"state":"running","steps":[{"s":1,"done":[0,2]},{"k":3,"all":true}]}`), &row))
	assert.DeepEqual(t, row.Steps, progressSteps{Open: []progressStep{{Step: 1, Done: []int{0, 2}}, {Occurrence: 3, AllDone: true}}})
	for _, p := range []progressSteps{{}, {Open: row.Steps.Open}, {Done: [][2]int{{0, 4}}, Open: row.Steps.Open}, {Ahead: []stepRanges{{1, [][2]int{{0, 4}, {7, 7}}}}}} {
		value := mustEncode(progressRow{State: beryllatch.JobRunning, Steps: p})
		var again progressRow
		assert.NilError(t, json.Unmarshal(value, &again))
		assert.DeepEqual(t, again.Steps, p)
		var earlier struct {
			Steps []progressStep `json:"steps"`
		}
		err := json.Unmarshal(value, &earlier)
		assert.Equal(t, err != nil, len(p.Done)+len(p.Ahead) > 0, fmt.Sprint(err))
	}
}

// Ranges that don't fit the job must not keep the other rows from being recovered.
func TestOddRangesOfOccurrences(t *testing.T) {
	job := singleTaskJob("0000000000000001")
	job.Repeat, job.First = 3, time.Unix(1_800_000_000, 0)
	s := testScheduler(2, 8)
	s.Apply(time.Unix(1_800_001_000, 0), Recovered{
		Jobs:     []beryllatch.DataRow{{Key: job.ID, Value: encodeJob(newJob(job)), Version: 1}},
		Progress: []beryllatch.DataRow{{Key: job.ID, Value: []byte(`{"state":"running","steps":{"done":[[-5,0],[2,99],[7,1]]}}`), Version: 2}},
	})
	for k, left := range []int{0, 1, 0} {
		assert.Equal(t, s.jobs[job.ID].stepsLeft(k), left, "occurrence %d", k)
	}
}

// One job whose progress does not fit into a row must not keep those of other jobs from being stored (review/2), and is stored once it fits.
func TestProgressThatIsTooLargeHoldsUpNoOther(t *testing.T) {
	h := newHarness(t)
	h.s.Limits.RowBytes = 2000
	large := singleTaskJob("0000000000000001")
	large.Steps[0].Count = 1000
	large.Steps[0].Needs.CPUMilli = 1
	h.accept(large)
	j := h.s.jobs[large.ID]
	for _, t := range j.open[0].tasks[:900] {
		t.done = true
	}
	h.s.markChanged(j)
	h.accept(singleTaskJob("0000000000000002"))
	assert.Assert(t, h.s.jobs["0000000000000002"].rows.jobStored)
	assert.Assert(t, j.rows.storedChange < j.rows.latestChange)
	h.lastCall++
	h.apply(CancelRequested{Call: h.lastCall, ID: large.ID})
	h.storeAll()
	err, answered := h.answers[h.lastCall]
	assert.Assert(t, answered && err == nil, "the final state fits")
	assert.Assert(t, j.rows.finalStored)
}
