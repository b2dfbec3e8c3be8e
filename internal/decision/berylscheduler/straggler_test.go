package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// advance lets a second pass; the runs of the stuck worker stay at a percent, the others advance by so many.
func (w *world) advance(starts []StartRun, percent int, stuck string, at int) {
	w.t.Helper()
	w.pass(time.Second)
	lists := running(starts, percent)
	if l, ok := lists[stuck]; ok {
		for i := range l.Running {
			l.Running[i].Percent = at
		}
	}
	w.answerHolds(lists)
}

func fourTasks() beryllatch.Job {
	j := oneTask("0000000000000001")
	j.Steps[0].Count, j.Steps[0].MaxPerWorker, j.Steps[0].Estimate = 4, 1, 4*time.Second
	return j
}

// A worker whose tasks stand still, though it answers and registers, must not hold a job up: its task starts elsewhere once
// the run is stopped.
func TestTaskThatStandsStillStartsElsewhere(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c", "d", "e")
	w.accept(fourTasks())
	starts := w.confirm()
	assert.Equal(t, len(starts), 4)
	stuck := starts[0]
	for n := range 3 {
		w.advance(starts, 20*(n+1), stuck.Worker.ID, 3)
	}
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, w.stops[0].Order.Task, stuck.Order.Task)
	assert.Equal(t, len(w.starts), 0, "nothing starts before the stop is settled")
	w.apply(StopEnded{Worker: stuck.Worker.ID, Incarnation: stuck.Incarnation, Task: stuck.Order.Task, Run: stuck.Order.Run})
	lists := running(starts[1:], 70)
	lists[stuck.Worker.ID] = beryllatch.WorkerLists{Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: stuck.Order.Task, Run: stuck.Order.Run, Outcome: beryllatch.RunStopped},
	}}
	w.answerHolds(lists)
	w.pass(100 * time.Millisecond)
	assert.Equal(t, len(w.starts), 1)
	assert.Assert(t, w.starts[0].Worker.ID != stuck.Worker.ID)
	assert.Assert(t, w.starts[0].Order.Run > stuck.Order.Run)
}

// Where copies are allowed, one starts beside the run that does not advance, and the other ends when one is done.
func TestCopyBesideATaskThatCrawls(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c", "d", "e")
	j := fourTasks()
	j.Steps[0].Speculative = true
	w.accept(j)
	starts := w.confirm()
	slow := starts[0]
	for n := range 3 {
		w.advance(starts, 25*(n+1), slow.Worker.ID, 2*(n+1))
	}
	assert.Equal(t, len(w.stops), 0)
	assert.Equal(t, len(w.starts), 1)
	second := w.confirm()[0]
	assert.Equal(t, second.Order.Task, slow.Order.Task)
	assert.Assert(t, second.Worker.ID != slow.Worker.ID)
	w.answerHolds(map[string]beryllatch.WorkerLists{second.Worker.ID: {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: second.Order.Task, Run: second.Order.Run, Outcome: beryllatch.RunDone},
	}}})
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, w.stops[0].Order.Run, slow.Order.Run)
}

// Tasks that take many times what was declared, all alike, are left where they are.
func TestLongTasksAreLeftAlone(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c", "d", "e")
	j := fourTasks()
	j.Steps[0].Estimate = time.Second
	w.accept(j)
	starts := w.confirm()
	for n := range 6 {
		w.advance(starts, 4*(n+1), "", 0)
	}
	assert.Equal(t, len(w.stops)+len(w.starts), 0)
}

// A task is started again twice at most: what stands still everywhere has to end somewhere.
func TestRescuesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c", "d", "e")
	j := fourTasks()
	j.Steps[0].Speculative = true
	w.accept(j)
	starts := w.confirm()
	for n := range 12 {
		w.advance(starts, min(20*(n+1), 99), starts[0].Worker.ID, 3)
		starts = append(starts, w.confirm()...)
	}
	assert.Assert(t, len(starts) <= 4+maxRescues, "%d starts", len(starts))
}
