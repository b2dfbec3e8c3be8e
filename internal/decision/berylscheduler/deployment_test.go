package berylscheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// deploymentWithout returns a later version of the test's configuration without its queue, pool and team. It has another queue with
// the same host and prefix.
func deploymentWithout() *beryllatch.Deployment {
	d := testDeployment()
	q := d.Queues["q"]
	q.Name, q.Pool = "q-new", "other"
	return beryllatch.Deployment{
		Version: 2, Queues: map[string]beryllatch.JobQueue{q.Name: q},
		Pools: map[string]beryllatch.JobPool{"other": {Name: "other"}, "spare": d.Pools["spare"]},
		Teams: map[string]beryllatch.JobTeam{"other": {Name: "other"}},
	}.WithIndex()
}

// twoStepJob returns a job with two steps of one task, one after the other.
func twoStepJob(id string) beryllatch.Job {
	j := singleTaskJob(id)
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = append(j.Steps, second)
	return j
}

// Guards against review/7: an accepted job never went on after its queue had been replaced by one of another name.
func TestJobGoesOnAfterItsQueueIsRemoved(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(twoStepJob("0000000000000001"))
	h.accept(singleTaskJob("0000000000000002"))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 2)
	h.apply(DeploymentChanged{deploymentWithout()})
	assert.Assert(t, slices.Contains(h.decisions, "queue_removed") && slices.Contains(h.decisions, "pool_removed"))
	h.finishRuns(beryllatch.RunDone, first...)
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	h.finishRuns(beryllatch.RunDone, second...)
	h.storeAll()
	state, _ := h.s.JobState("0000000000000001")
	assert.Equal(t, state, beryllatch.JobDone)
}

// Callers who ask the queue that has replaced another one must not miss the jobs that wait since before.
func TestPendingCountsJobsOfTheReplacedQueue(t *testing.T) {
	h := newHarness(t)
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, h.s.Pending("q"), 1)
	h.apply(DeploymentChanged{deploymentWithout()})
	assert.Equal(t, h.s.Pending("q-new"), 1)
}

// Guards against a job whose queue is removed: its tasks got more attempts than the queue allows (BUDGET, second review).
func TestRemovedQueueKeepsItsAttempts(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.apply(DeploymentChanged{deploymentWithout()})
	for range testDeployment().Queues["q"].MaxAttempts {
		starts := h.confirmStarts()
		assert.Equal(t, len(starts), 1)
		h.finishRuns(beryllatch.RunFailed, starts...)
	}
	h.storeAll()
	assert.Equal(t, len(h.starts), 0)
	state, _ := h.s.JobState("0000000000000001")
	assert.Equal(t, state, beryllatch.JobFailed)
}

// A removed client account must not lose its ceiling while it has jobs.
func TestRemovedTeamKeepsItsCeiling(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 3, 8000
	h.submit(j)
	h.storeInto(stored)
	next := h.takeOverWith(stored, deploymentWithout())
	for _, h := range []*harness{h, next} {
		h.apply(DeploymentChanged{deploymentWithout()})
		h.register("a", "b")
		assert.Equal(t, len(h.confirmStarts()), 2, "the ceiling is 20 cores")
	}
}

// A node that takes over must know the settings of a queue that was removed before, in their last form.
func TestTakeoverKnowsTheSettingsOfARemovedQueue(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.register("a")
	h.submit(twoStepJob("0000000000000001"))
	h.submit(singleTaskJob("0000000000000002"))
	h.storeInto(stored)
	d := testDeployment()
	changed := d.Queues["q"]
	changed.MaxAttempts = 5
	d.Version, d.Queues["q"] = 2, changed
	h.apply(DeploymentChanged{d})
	lists := h.finishedLists(beryllatch.RunDone, h.confirmStarts()[0])
	h.tickFor(time.Second)
	h.answerHolds(lists)
	h.storeInto(stored)

	next := h.takeOverWith(stored, deploymentWithout())
	assert.Assert(t, slices.Contains(next.decisions, "queue_removed"))
	assert.Equal(t, next.s.jobs["0000000000000001"].queue, changed)
	assert.Equal(t, next.s.jobs["0000000000000002"].queue, testDeployment().Queues["q"])
	next.register("b")
	assert.Equal(t, len(next.starts), 2)
}

// Rows of earlier programs name the queue and its pool only.
func TestRowsWithoutQueueSettings(t *testing.T) {
	h := newHarness(t)
	row := struct {
		beryllatch.Job
		Pool string `json:"pool"`
	}{singleTaskJob("0000000000000001"), "p"}
	row.Queue = "q"
	stored := storedRows{"jobs/1": {Table: JobsTable, Part: Part, Key: row.ID, Value: mustEncode(row), Version: 5}}
	next := h.takeOverWith(stored, deploymentWithout())
	next.register("a")
	starts := next.confirmStarts()
	assert.Equal(t, len(starts), 1)
	next.finishRuns(beryllatch.RunFailed, starts...)
	assert.Equal(t, len(next.starts), 1, "no limit of attempts is known")
}
