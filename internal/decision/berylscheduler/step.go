package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylrange"
)

const (
	// maxWaitingTasks limits the waiting tasks of a step over all occurrences of its job. A pass starts fewer, and the next ones are opened
	// before the next pass.
	maxWaitingTasks = 256
	// maxWaitingTasksOfAll is shared by all unfinished jobs, so that passes stay short when many of them are overdue.
	maxWaitingTasksOfAll = 16 << 10
	// maxOverlappingTasks limits the tasks that a repeated job has in memory beyond those of one occurrence. It is shared by its steps.
	maxOverlappingTasks = 4 << 10
	// progressBytes is about what the progress of a step takes in the row of its job.
	progressBytes = 64
)

// stepProgress is the progress of a step over all occurrences. A job may be due any number of times, so that only the steps that can run
// now are open, which means that they have tasks in memory; all others are numbers in ranges.
type stepProgress struct {
	// done holds the occurrences in which all tasks of the step are done.
	done berylrange.Set[int]
	// ready holds the due occurrences in which the step could start and is not open.
	ready berylrange.Set[int]
}

// stepState is the state of an open step, in one occurrence.
type stepState struct {
	job        *job
	occurrence int
	number     int
	spec       *beryllatch.JobStep
	tasks      []*task
	// openedAt is when the step was opened.
	openedAt time.Time
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// tasksWaiting counts the tasks that are not done and have no run.
	tasksWaiting int
	// failedRuns holds the numbers of the failed runs of a gang.
	failedRuns []int
	lastRun    int
	durations  stepDurations
	// class is the step's class as of the last pass or tick, classified is true once a tick has set it.
	class      stepClass
	classified bool
	// overdue is true once the step has got a part of the capacity for work that has been late for long.
	overdue bool
	// timing is that of a step of a repeated job.
	timing stepTiming
	// blockedSince is when a task of the step first found no room since the last start; reservedWorker is the worker that was
	// last kept free for the step.
	blockedSince   time.Time
	reservedWorker *worker
	// shortSince is since when the pool has had too few workers that can take the step's waiting tasks.
	shortSince time.Time
	// waitLoggedAt is when the wait was last logged.
	waitLoggedAt time.Time
}

// dueCount returns the number of occurrences that are due.
func (j *job) dueCount(now time.Time) int {
	switch {
	case j.Repeat == 0:
		return 1
	case now.Before(j.First):
		return 0
	case j.Interval <= 0:
		return j.Repeat
	}
	return int(min(now.Sub(j.First)/j.Interval, time.Duration(j.Repeat-1))) + 1
}

// dueAt returns when an occurrence is due.
func (j *job) dueAt(occurrence int) time.Time {
	if j.Repeat == 0 {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// compareSteps orders steps by occurrence and number.
func compareSteps(st *stepState, at stepKey) int {
	return cmp.Or(st.occurrence-at.occurrence, st.number-at.number)
}

// stepKey is the place of a step in its job.
type stepKey struct{ occurrence, number int }

// find returns the place of a step in the list of open ones, and whether it is there.
func (j *job) find(at stepKey) (int, bool) {
	return slices.BinarySearchFunc(j.open, at, compareSteps)
}

// step returns a step, and opens it if it isn't open. One that is done is returned with tasks that are done, and not kept.
func (j *job) step(at stepKey, now time.Time) *stepState {
	i, ok := j.find(at)
	if ok {
		return j.open[i]
	}
	spec := &j.Steps[at.number]
	st := &stepState{
		job: j, occurrence: at.occurrence, number: at.number, spec: spec, openedAt: now, tasksLeft: spec.Count, tasksWaiting: spec.Count,
	}
	for n := range spec.Count {
		t := &task{step: st, index: n}
		t.name = t.key().String()
		st.tasks = append(st.tasks, t)
	}
	if j.isDone(at) {
		for _, t := range st.tasks {
			t.done = true
		}
		st.tasksLeft, st.tasksWaiting = 0, 0
		return st
	}
	j.open = slices.Insert(j.open, i, st)
	p := &j.steps[at.number]
	p.ready = p.ready.Without(at.occurrence, at.occurrence)
	return st
}

// isDone reports whether all tasks of a step are done.
func (j *job) isDone(at stepKey) bool { return j.steps[at.number].done.Contains(at.occurrence) }

// isReady reports whether all steps that the given one depends on are done.
func (j *job) isReady(at stepKey) bool {
	return !slices.ContainsFunc(j.Steps[at.number].After, func(a int) bool { return !j.isDone(stepKey{at.occurrence, a}) })
}

// finish records that all tasks of a step are done. The step is no longer open; runs that are still being stopped refer to it.
func (j *job) finish(at stepKey) {
	if i, ok := j.find(at); ok {
		j.open = slices.Delete(j.open, i, i+1)
	}
	p := &j.steps[at.number]
	p.done = p.done.With(at.occurrence, at.occurrence)
	j.timing = stepTiming{}
	if at.occurrence >= j.due {
		return
	}
	for n := at.number + 1; n < len(j.Steps); n++ {
		if slices.Contains(j.Steps[n].After, at.number) {
			j.findReady(n, at.occurrence, at.occurrence)
		}
	}
}

// isFinished reports whether all steps of all occurrences are done.
func (j *job) isFinished() bool {
	for _, p := range j.steps {
		if p.done.Len() != j.Occurrences() {
			return false
		}
	}
	return true
}

// findReady adds the occurrences in the given range in which a step can start.
func (j *job) findReady(number, first, last int) {
	p := &j.steps[number]
	found := berylrange.Of([2]int{first, last}).Minus(p.done.Within(first, last))
	for _, a := range j.Steps[number].After {
		found = found.And(j.steps[a].done.Within(first, last))
	}
	for _, st := range j.open {
		if st.number == number {
			found = found.Without(st.occurrence, st.occurrence)
		}
	}
	for _, r := range found.Ranges() {
		p.ready = p.ready.With(r[0], r[1])
	}
}

// waitingSteps yields the open steps of due occurrences that are ready and have tasks without a run.
func (j *job) waitingSteps(yield func(*stepState) bool) {
	for _, st := range j.open {
		if j.rowIsFull && !st.hasStarted() {
			continue
		}
		if st.tasksWaiting > 0 && st.occurrence < j.due && j.isReady(stepKey{st.occurrence, st.number}) && !yield(st) {
			return
		}
	}
}

// hasStarted reports whether the step has had a run.
func (st *stepState) hasStarted() bool { return st.lastRun > 0 || st.tasksLeft < st.spec.Count }

// openSteps opens steps that can start, in the order of their occurrences, up to a limit of waiting tasks for each step number. One step
// that waits for a label must not keep others from starting, nor a job with many overdue occurrences other jobs.
func (s *Scheduler) openSteps(j *job) {
	j.rowIsFull = s.progressFillsRow(j)
	if due := j.dueCount(s.now); due > j.due {
		first := j.due
		j.due = due
		for n := range j.steps {
			j.findReady(n, first, due-1)
		}
	}
	if j.rowIsFull {
		return
	}
	var waiting []int
	var open, mostOpen int
	limit := max(min(maxWaitingTasks, maxWaitingTasksOfAll/max(len(s.active), 1), maxOverlappingTasks/max(len(j.steps), 1)), 1)
	for n := range j.steps {
		p := &j.steps[n]
		for !p.ready.IsEmpty() {
			if waiting == nil {
				waiting, open, mostOpen = j.countWaiting(), j.countOpen(), maxOpenTasks(&j.Job)
			}
			count := j.Steps[n].Count
			if waiting[n] >= limit || open+count > mostOpen {
				break
			}
			j.step(stepKey{p.ready.Min(), n}, s.now)
			waiting[n] += count
			open += count
			s.placementDue = true
		}
	}
}

// countWaiting returns the number of waiting tasks by step number.
func (j *job) countWaiting() []int {
	out := make([]int, len(j.steps))
	for st := range j.waitingSteps {
		out[st.number] += st.tasksWaiting
	}
	return out
}

// taskCount returns the number of tasks of an occurrence.
func taskCount(j *beryllatch.Job) int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// maxOpenTasks returns how many tasks of a job may be in memory.
func maxOpenTasks(j *beryllatch.Job) int {
	tasks := taskCount(j)
	return tasks + min((j.Occurrences()-1)*tasks, maxOverlappingTasks)
}

// countOpen returns the number of tasks in memory.
func (j *job) countOpen() int {
	n := 0
	for _, st := range j.open {
		n += len(st.tasks)
	}
	return n
}

// progressFillsRow reports whether the progress of a repeated job may soon outgrow its row, so that steps which have not started should wait
// for the end of others.
func (s *Scheduler) progressFillsRow(j *job) bool {
	if j.Repeat == 0 || s.Limits.RowBytes == 0 {
		return false
	}
	started := 0
	for _, st := range j.open {
		if st.hasStarted() {
			started++
		}
	}
	return started > 0 && (j.rows.progressSize > s.Limits.RowBytes/2 || started*progressBytes > s.Limits.RowBytes)
}
