package berylscheduler

import (
	"slices"
	"time"
)

const (
	// stallTime is how long a task must make no progress to count as standing still.
	stallTime = time.Second
	// stallShare is the part of a task's expected time without progress that is explained by rounding to whole percents.
	stallShare = 0.04
	// slowFactor is by how much longer than expected the tasks of a slow worker take; declared times are off by up to two.
	slowFactor = 2.5
	// minObservedTime is the least time after which the progress of a task tells the speed of its worker.
	minObservedTime = 300 * time.Millisecond
	// speedWeight weighs new progress against the speed so far.
	speedWeight = 0.5
	// speedValidity is how long a worker counts as slow after its last look.
	speedValidity = 3 * time.Second
	// minRestartGain is how much sooner a task must end elsewhere to be started again.
	minRestartGain = 700 * time.Millisecond
)

// speed is how fast the tasks of a worker advance.
type speed struct {
	// factor is the time that tasks take over the time expected of them.
	factor     float64
	measuredAt time.Time
}

// slowness returns by how much longer than expected the worker's tasks take, 1 if it is not known to be slow.
func (s *Scheduler) slowness(w *worker) float64 {
	if w.speed.measuredAt.IsZero() || s.now.Sub(w.speed.measuredAt) > speedValidity {
		return 1
	}
	return max(w.speed.factor, 1)
}

// recordProgress remembers since when a run has not advanced.
func (s *Scheduler) recordProgress(r *run, percent int) {
	if percent != r.percent || r.advancedAt.IsZero() {
		r.percent, r.advancedAt = percent, s.now
	}
}

// restartStragglers finds tasks that stand still or crawl, on workers whose registration and answers are good, and starts them
// elsewhere.
func (s *Scheduler) restartStragglers(w *worker) {
	sum, n := 0.0, 0
	for _, r := range w.runs {
		if elapsed, ok := s.elapsed(r); ok && elapsed >= minObservedTime {
			sum += float64(r.estimatedDuration(elapsed)) / float64(s.typicalDuration(r.task.step))
			n++
		}
	}
	if n == 0 {
		return
	}
	if s.now.Sub(w.speed.measuredAt) > speedValidity {
		w.speed.factor = 1
	}
	w.speed.factor += speedWeight * (sum/float64(n) - w.speed.factor)
	w.speed.measuredAt = s.now
	for _, r := range s.runsOf(w) {
		elapsed, ok := s.elapsed(r)
		if !ok {
			continue
		}
		expected := s.typicalDuration(r.task.step)
		stalled := s.now.Sub(r.advancedAt) >= max(stallTime, time.Duration(stallShare*float64(expected)))
		tooSlow := w.speed.factor >= slowFactor && r.estimatedDuration(elapsed)-elapsed > expected+minRestartGain
		if stalled || tooSlow {
			s.restartElsewhere(r)
		}
	}
}

// stepDurations is the time that the tasks of a step take, by those that run and those that are done.
type stepDurations struct {
	typical    time.Duration
	computedAt time.Time
	// finishedTotal sums the times of the finished tasks.
	finishedTotal time.Duration
	finishedCount int
}

const (
	// typicalInterval is how long the mean over a step's tasks holds.
	typicalInterval = 100 * time.Millisecond
	// minTasksForMedian is the least number of tasks whose mean replaces the declared and the learned time: tasks of one step are
	// alike, while declared times are off by up to their own size.
	minTasksForMedian = 3
	// fewTasksFactor lengthens the expected time of steps with fewer tasks, which says little of one task.
	fewTasksFactor = 1.5
)

// typicalDuration returns how long a task of the step takes on most workers.
func (s *Scheduler) typicalDuration(st *stepRun) time.Duration {
	if s.now.Sub(st.durations.computedAt) < typicalInterval {
		return st.durations.typical
	}
	times := make([]time.Duration, 0, len(st.tasks))
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if elapsed, ok := s.elapsed(r); ok && elapsed >= minObservedTime {
				times = append(times, r.estimatedDuration(elapsed))
			}
		}
	}
	for range st.durations.finishedCount {
		times = append(times, st.durations.finishedTotal/time.Duration(st.durations.finishedCount))
	}
	st.durations.computedAt = s.now
	if len(times) < minTasksForMedian {
		st.durations.typical = time.Duration(fewTasksFactor * float64(s.expectedDuration(st)))
		return st.durations.typical
	}
	slices.Sort(times)
	// Half of the tasks or fewer are on slow workers.
	st.durations.typical = max(times[(len(times)-1)/2], minObservedTime)
	return st.durations.typical
}

// elapsed returns how long a short task has run, and false for runs whose progress tells nothing: members of gangs wait for
// the others, fillers are slowed down on purpose, and resumed tasks load their checkpoint first.
func (s *Scheduler) elapsed(r *run) (time.Duration, bool) {
	if r.task == nil || r.phase != runPresent || r.confirmedAt.IsZero() {
		return 0, false
	}
	spec := r.task.step.spec
	if spec.LongRunning || spec.Gang || spec.Filler {
		return 0, false
	}
	elapsed := s.now.Sub(r.confirmedAt)
	if r.resumed {
		elapsed -= s.Limits.RestoreTime
	}
	return elapsed, elapsed > 0
}

// estimatedDuration returns how long the run takes in all at its present speed.
func (r *run) estimatedDuration(elapsed time.Duration) time.Duration {
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// restartElsewhere starts a task of a run that does not advance on another worker: beside it where copies are allowed, and once it is
// stopped otherwise.
func (s *Scheduler) restartElsewhere(r *run) {
	t := r.task
	if len(t.runs) > 1 || t.restarts >= maxRestarts {
		return
	}
	w, ticket := s.chooseWorker(t, s.otherFastWorkers(r.worker))
	if w == nil {
		return
	}
	t.restarts++
	t.failedOn = append(t.failedOn, r.worker.info.ID)
	s.emit(Decision{Name: "run_straggles", Task: t.name, Worker: r.worker.info.ID, Run: r.id.n, Age: s.now.Sub(r.advancedAt)})
	if t.step.spec.Speculative && s.underCeiling(t.step.job.Team, t.step.spec.Needs) {
		s.startTask(w, t, s.nextRun(t.lastRun), ticket)
		return
	}
	s.stop(r, "the task does not advance")
}

// maxRestarts bounds the restarts of one task: a task that is slow everywhere must end somewhere.
const maxRestarts = 2

// otherFastWorkers returns the usable workers of the same pool that are not slow.
func (s *Scheduler) otherFastWorkers(w *worker) []*worker {
	var out []*worker
	for _, o := range s.sortedWorkers {
		if o != w && o.info.Pool == w.info.Pool && s.usable(o) && s.slowness(o) < slowFactor {
			out = append(out, o)
		}
	}
	return out
}
