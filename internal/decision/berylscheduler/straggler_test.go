package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// reportProgress advances the clock by a second and reports slowPercent for the runs on slowWorker, percent for all others.
func (h *harness) reportProgress(starts []StartRun, percent int, slowWorker string, slowPercent int) {
	h.t.Helper()
	h.tickFor(time.Second)
	lists := runningLists(starts, percent)
	if l, ok := lists[slowWorker]; ok {
		for i := range l.Running {
			l.Running[i].Percent = slowPercent
		}
	}
	h.answerHolds(lists)
}

func fourTaskJob() beryllatch.Job {
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].MaxPerWorker, j.Steps[0].Estimate = 4, 1, 4*time.Second
	return j
}

// A worker may answer and stay registered while its tasks make no progress. Such a task must start elsewhere once its run is
// stopped.
func TestTaskThatStandsStillStartsElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c", "d", "e")
	h.accept(fourTaskJob())
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 4)
	stuck := starts[0]
	for n := range 3 {
		h.reportProgress(starts, 20*(n+1), stuck.Worker.ID, 3)
	}
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Order.Task, stuck.Order.Task)
	assert.Equal(t, len(h.starts), 0, "nothing starts before the run has ended")
	h.apply(StopEnded{Worker: stuck.Worker.ID, Fence: stuck.Order.Fence, Task: stuck.Order.Task, Run: stuck.Order.Run})
	lists := runningLists(starts[1:], 70)
	lists[stuck.Worker.ID] = beryllatch.WorkerLists{Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: stuck.Order.Task, Run: stuck.Order.Run, Outcome: beryllatch.RunStopped},
	}}
	h.answerHolds(lists)
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker.ID != stuck.Worker.ID)
	assert.Assert(t, h.starts[0].Order.Run > stuck.Order.Run)
}

// A speculative task that does not advance gets a second run at once. When one run is done, the other is stopped.
func TestCopyBesideATaskThatCrawls(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c", "d", "e")
	j := fourTaskJob()
	j.Steps[0].Speculative = true
	h.accept(j)
	starts := h.confirmStarts()
	slow := starts[0]
	for n := range 3 {
		h.reportProgress(starts, 25*(n+1), slow.Worker.ID, 2*(n+1))
	}
	assert.Equal(t, len(h.stops), 0)
	assert.Equal(t, len(h.starts), 1)
	second := h.confirmStarts()[0]
	assert.Equal(t, second.Order.Task, slow.Order.Task)
	assert.Assert(t, second.Worker.ID != slow.Worker.ID)
	h.answerHolds(map[string]beryllatch.WorkerLists{second.Worker.ID: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: second.Order.Task, Run: second.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Order.Run, slow.Order.Run)
}

// Tasks that all take many times their declared duration are not stragglers and must not be restarted.
func TestLongTasksAreLeftAlone(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c", "d", "e")
	j := fourTaskJob()
	j.Steps[0].Estimate = time.Second
	h.accept(j)
	starts := h.confirmStarts()
	for n := range 6 {
		h.reportProgress(starts, 4*(n+1), "", 0)
	}
	assert.Equal(t, len(h.stops)+len(h.starts), 0)
}

// A task that is slow everywhere is restarted twice at most, so that it can finish.
func TestRescuesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c", "d", "e")
	j := fourTaskJob()
	j.Steps[0].Speculative = true
	h.accept(j)
	starts := h.confirmStarts()
	for n := range 12 {
		h.reportProgress(starts, min(20*(n+1), 99), starts[0].Worker.ID, 3)
		starts = append(starts, h.confirmStarts()...)
	}
	assert.Assert(t, len(starts) <= 4+maxRestarts, "%d starts", len(starts))
}
