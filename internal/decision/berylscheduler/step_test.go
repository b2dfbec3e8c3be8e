package berylscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// overdueJob returns a job of one step that has been due every second until now, n times.
func overdueJob(id string, now time.Time, n int) beryllatch.Job {
	j := singleTaskJob(id)
	j.Repeat, j.Interval = n, time.Second
	j.First = now.Add(-time.Duration(n) * time.Second)
	j.Steps[0].Count = 10
	return j
}

func (j *job) openTasks() int {
	n := 0
	for _, st := range j.open {
		n += len(st.tasks)
	}
	return n
}

// Guards against review/9: one job with a day of overdue times kept the other jobs from running.
func TestOverdueOccurrencesHoldUpNoOtherJob(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	big := overdueJob("0000000000000001", h.now, 10_000_000)
	h.accept(big)
	j := h.s.jobs[big.ID]
	assert.Assert(t, j.openTasks() <= maxWaitingTasks+len(j.steps)*10, "%d tasks", j.openTasks())
	running := h.confirmStarts()
	assert.Assert(t, len(running) > 0)

	h.accept(singleTaskJob("0000000000000002"))
	// The second job becomes late, too, and has its turn before the occurrences that are opened meanwhile.
	h.tickFor(5 * time.Second)
	for range 40 {
		h.finishRuns(beryllatch.RunDone, running...)
		assert.Assert(t, j.openTasks() <= maxWaitingTasks+26*10, "%d tasks", j.openTasks())
		running = h.confirmStarts()
		for _, f := range running {
			if strings.HasPrefix(f.Order.Task, "0000000000000002") {
				return
			}
		}
	}
	t.Fatal("the second job doesn't run")
}

// Many jobs with overdue times must not make the passes long, each by its share.
func TestManyOverdueJobsShareTheOpenSteps(t *testing.T) {
	h := newHarness(t)
	for n := range 1000 {
		h.submit(overdueJob(fmt.Sprintf("%016x", n), h.now, 100_000))
	}
	h.storeAll()
	h.tickFor(100 * time.Millisecond)
	open := 0
	for _, j := range h.s.jobs {
		open += j.openTasks()
	}
	// The first jobs had no others to share with.
	assert.Assert(t, open <= 4*maxWaitingTasksOfAll, "%d tasks", open)
}

// A step that no worker can run must not keep the other steps of later occurrences from running.
func TestStepThatCannotRunHoldsUpNoOtherStep(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := overdueJob("0000000000000001", h.now, 1000)
	j.Steps[0].Count = 1
	second := j.Steps[0]
	second.After, second.RequiredLabel = []int{0}, "missing"
	j.Steps = append(j.Steps, second)
	h.accept(j)
	for range 200 {
		h.finishRuns(beryllatch.RunDone, h.confirmStarts()...)
	}
	got := h.s.jobs[j.ID]
	assert.Equal(t, got.steps[0].done.Len(), 1000)
	assert.Assert(t, got.openTasks() <= maxWaitingTasks, "%d tasks", got.openTasks())
	assert.Assert(t, len(encodeProgress(got)) < 200, "%s", encodeProgress(got))
}

// A job must not open more occurrences while the progress of those that run fills half of its row.
func TestProgressBoundsTheOpenSteps(t *testing.T) {
	h := newHarness(t)
	h.s.Limits.RowBytes = 1500
	h.register("a")
	big := overdueJob("0000000000000001", h.now, 100_000)
	big.Steps[0].Needs.CPUMilli, big.Steps[0].Count = 1, 2
	h.accept(big)
	lists := beryllatch.WorkerLists{}
	for range 100 {
		// The first task of each occurrence ends, the second one goes on.
		for _, f := range h.confirmStarts() {
			if strings.HasSuffix(f.Order.Task, ".0.1") {
				lists.Running = append(lists.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run})
				continue
			}
			h.completions++
			lists.Finished = append(lists.Finished, beryllatch.FinishedEntry{Number: h.completions, Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunDone})
		}
		h.tickFor(200 * time.Millisecond)
		h.answerHolds(map[string]beryllatch.WorkerLists{"a": lists})
		h.storeAll()
	}
	j := h.s.jobs[big.ID]
	assert.Assert(t, !j.rows.tooLarge)
	assert.Assert(t, len(lists.Running) > 10 && len(encodeProgress(j)) < 1500, "%d tasks run, %d bytes", len(lists.Running), len(encodeProgress(j)))
}

// A run that was adopted before its time must not be started again before its time.
func TestOccurrenceThatIsNotDueIsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Repeat, j.First, j.Interval = 3, h.now.Add(time.Hour), time.Hour
	h.accept(j)
	h.apply(WorkerHeld{Worker: "a", Fence: h.s.workers["a"].fence, Sent: h.now, Lists: beryllatch.WorkerLists{
		Clock: h.clock(), Incarnation: 1, Running: []beryllatch.RunningEntry{{Task: "0000000000000001.1.0.0", Run: 1}},
	}})
	h.tickFor(time.Second)
	h.answerHolds(nil)
	h.tickFor(10 * time.Second)
	h.answerHolds(nil)
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, h.s.jobs[j.ID].due, 0)
}

// drawJob draws a job with up to 25 occurrences, some of them overdue, and up to four steps.
func drawJob(t *rapid.T, now time.Time) beryllatch.Job {
	j := beryllatch.Job{ID: "0000000000000001", Interval: time.Duration(rapid.IntRange(0, 400).Draw(t, "interval")) * time.Millisecond}
	if j.Repeat = rapid.IntRange(0, 25).Draw(t, "repeat"); j.Repeat > 0 {
		j.First = now.Add(time.Duration(rapid.IntRange(-8000, 1000).Draw(t, "first")) * time.Millisecond)
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := beryllatch.JobStep{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Estimate: time.Second, Needs: beryllatch.Resources{CPUMilli: 700, MemoryMB: 10},
		}
		for a := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, a)
			}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func compareKeys(a, b beryllatch.TaskKey) int {
	return cmp.Or(a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index)
}

// Each task of each occurrence must run to its end once, after the steps before it and not before its time, whatever node schedules.
func TestEveryOccurrenceRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, stored := newHarness(t), make(storedRows)
		h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
		h.storeInto(stored)
		h.answerHolds(nil)
		job := drawJob(rt, h.now)
		h.submit(job)
		h.storeInto(stored)
		done := make(map[beryllatch.TaskKey]bool)
		running := make(map[beryllatch.TaskKey]StartRun)
		completions, finished := int64(0), []beryllatch.FinishedEntry(nil)
		for range 400 {
			for _, f := range h.confirmStarts() {
				k, err := beryllatch.ParseTaskKey(f.Order.Task)
				assert.NilError(rt, err)
				_, runs := running[k]
				assert.Assert(rt, !done[k] && !runs, "%s starts again", f.Order.Task)
				for _, a := range job.Steps[k.Step].After {
					for i := range job.Steps[a].Count {
						assert.Assert(rt, done[beryllatch.TaskKey{Job: k.Job, Occurrence: k.Occurrence, Step: a, Index: i}], "%s starts before step %d is done", f.Order.Task, a)
					}
				}
				due := job.First.Add(time.Duration(k.Occurrence) * job.Interval)
				assert.Assert(rt, job.Repeat == 0 || !h.now.Before(due), "%s starts too early", f.Order.Task)
				running[k] = f
			}
			lists := beryllatch.WorkerLists{Finished: finished}
			for _, k := range slices.SortedFunc(maps.Keys(running), compareKeys) {
				f := running[k]
				if !rapid.Bool().Draw(rt, "ends") {
					lists.Running = append(lists.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run})
					continue
				}
				completions++
				done[k] = true
				delete(running, k)
				lists.Finished = append(lists.Finished, beryllatch.FinishedEntry{Number: completions, Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunDone})
			}
			finished = lists.Finished
			h.tickFor(100 * time.Millisecond)
			h.answerHolds(map[string]beryllatch.WorkerLists{"a": lists})
			if rapid.IntRange(0, 3).Draw(rt, "stores") > 0 {
				h.storeInto(stored)
			}
			if rapid.IntRange(0, 25).Draw(rt, "takeover") == 0 {
				h = h.takeOver(stored)
				h.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
			}
			if s, _ := h.s.JobState(job.ID); s == beryllatch.JobDone {
				break
			}
		}
		total := 0
		for _, s := range job.Steps {
			total += s.Count * job.Occurrences()
		}
		assert.Equal(rt, len(done), total)
		state, _ := h.s.JobState(job.ID)
		assert.Equal(rt, state, beryllatch.JobDone)
	})
}
