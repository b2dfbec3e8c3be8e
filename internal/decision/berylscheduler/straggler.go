package berylscheduler

import (
	"slices"
	"time"
)

const (
	// stallTime is the least time without progress after which a task counts as stalled.
	stallTime = time.Second
	// stallShare is the share of a task's expected duration that may pass without visible progress, since progress is rounded
	// to whole percents.
	stallShare = 0.04
	// slowFactor is how many times as long as expected tasks take on a slow worker. It is above 2 since declared durations are
	// off by up to that factor.
	slowFactor = 2.5
	// minObservedTime is the least duration of a run before its progress is used as a measure of speed.
	minObservedTime = 300 * time.Millisecond
	// speedWeight is the weight of a new measurement in the moving average of a worker's speed.
	speedWeight = 0.5
	// speedValidity is how long a measured speed counts.
	speedValidity = 3 * time.Second
	// minRestartGain is the least time that a restart of a slow task on another worker must save.
	minRestartGain = 700 * time.Millisecond
)

// speed is the measured speed of a worker.
type speed struct {
	// factor is the estimated duration of the worker's runs over the expected one; 2 means half the usual speed.
	factor     float64
	measuredAt time.Time
}

// slowness returns the worker's speed factor, at least 1; it is 1 without a recent measurement.
func (s *Scheduler) slowness(w *worker) float64 {
	if w.speed.measuredAt.IsZero() || s.now.Sub(w.speed.measuredAt) > speedValidity {
		return 1
	}
	return max(w.speed.factor, 1)
}

// recordProgress records a run's progress and when it last changed.
func (s *Scheduler) recordProgress(r *run, percent int) {
	if percent != r.percent || r.advancedAt.IsZero() {
		r.percent, r.advancedAt = percent, s.now
	}
}

// restartStragglers measures the worker's speed, and restarts on other workers the runs that are stalled or far too slow. It
// also finds workers that are slow although they register and answer as usual.
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

// stepDurations is the typical duration of a step's tasks, from their running and finished runs.
type stepDurations struct {
	typical    time.Duration
	computedAt time.Time
	// finishedTotal is the sum of the durations of the finished runs.
	finishedTotal time.Duration
	finishedCount int
}

const (
	// typicalInterval is how long the typical duration is used before it is computed again.
	typicalInterval = 100 * time.Millisecond
	// minTasksForMedian is the least number of measured durations whose median replaces the expected duration: the tasks of a
	// step are alike, while declared durations are off by up to a factor of two.
	minTasksForMedian = 3
	// fewTasksFactor lengthens the expected duration when there are fewer, since it says little about a single task.
	fewTasksFactor = 1.5
)

// typicalDuration returns how long a task of the step takes on most workers.
func (s *Scheduler) typicalDuration(st *stepState) time.Duration {
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
		st.durations.typical = time.Duration(fewTasksFactor * float64(s.expectedDuration(st.job, st.spec)))
		return st.durations.typical
	}
	slices.Sort(times)
	// The lower median is right as long as at most half of the tasks are on slow workers.
	st.durations.typical = max(times[(len(times)-1)/2], minObservedTime)
	return st.durations.typical
}

// elapsed returns how long a run has been working, and false for runs whose progress says nothing about the worker's speed:
// those of gangs, whose members wait for each other, of fillers, which are slowed down on purpose, and of long-running tasks.
// The time to load a checkpoint does not count.
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

// estimatedDuration returns how long the run takes from start to end at its present speed.
func (r *run) estimatedDuration(elapsed time.Duration) time.Duration {
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// restartElsewhere starts the task of a straggling run on another worker if one can take it. A speculative task gets a second
// run at once; for other tasks the run is stopped first.
func (s *Scheduler) restartElsewhere(r *run) {
	t := r.task
	if len(t.runs) > 1 || t.restarts >= maxRestarts || !s.mayAct() {
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

// maxRestarts limits the restarts of a task that is slow on every worker, so that it can finish.
const maxRestarts = 2

// otherFastWorkers returns the usable workers of the same pool that are not slow, without w.
func (s *Scheduler) otherFastWorkers(w *worker) []*worker {
	var out []*worker
	for _, o := range s.sortedWorkers {
		if o != w && o.info.Pool == w.info.Pool && s.usable(o) && s.slowness(o) < slowFactor {
			out = append(out, o)
		}
	}
	return out
}
