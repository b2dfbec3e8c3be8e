package berylscheduler

import (
	"slices"
	"time"
)

const (
	// stillTime is how long a task must make no progress to count as standing still.
	stillTime = time.Second
	// stillShare is the part of a task's expected time without progress that is explained by rounding to whole percents.
	stillShare = 0.04
	// slowFactor is by how much longer than expected the tasks of a slow worker take; declared times are off by up to two.
	slowFactor = 2.5
	// slowLeast is the least time after which the progress of a task tells the speed of its worker.
	slowLeast = 300 * time.Millisecond
	// slowRate weighs new progress against the speed so far.
	slowRate = 0.5
	// slowMemory is how long a worker counts as slow after its last look.
	slowMemory = 3 * time.Second
	// rescueGain is how much sooner a task must end elsewhere to be started again.
	rescueGain = 700 * time.Millisecond
)

// speed is how fast the tasks of a worker advance.
type speed struct {
	// factor is the time that tasks take over the time expected of them.
	factor float64
	at     time.Time
}

// slowness returns by how much longer than expected the worker's tasks take, 1 if it is not known to be slow.
func (s *Scheduler) slowness(w *worker) float64 {
	if w.speed.at.IsZero() || s.now.Sub(w.speed.at) > slowMemory {
		return 1
	}
	return max(w.speed.factor, 1)
}

// noteProgress remembers since when a run has not advanced.
func (s *Scheduler) noteProgress(r *run, percent int) {
	if percent != r.percent || r.advanced.IsZero() {
		r.percent, r.advanced = percent, s.now
	}
}

// watchProgress finds tasks that stand still or crawl, on workers whose registration and answers are good, and starts them
// elsewhere.
func (s *Scheduler) watchProgress(w *worker) {
	sum, n := 0.0, 0
	for _, r := range w.runs {
		if elapsed, ok := s.elapsed(r); ok && elapsed >= slowLeast {
			sum += float64(r.estimate(elapsed)) / float64(s.usual(r.task.step))
			n++
		}
	}
	if n == 0 {
		return
	}
	if s.now.Sub(w.speed.at) > slowMemory {
		w.speed.factor = 1
	}
	w.speed.factor += slowRate * (sum/float64(n) - w.speed.factor)
	w.speed.at = s.now
	for _, r := range s.runsOf(w) {
		elapsed, ok := s.elapsed(r)
		if !ok {
			continue
		}
		expected := s.usual(r.task.step)
		still := s.now.Sub(r.advanced) >= max(stillTime, time.Duration(stillShare*float64(expected)))
		crawls := w.speed.factor >= slowFactor && r.estimate(elapsed)-elapsed > expected+rescueGain
		if still || crawls {
			s.rescue(r)
		}
	}
}

// stepTime is the time that the tasks of a step take, by those that run and those that are done.
type stepTime struct {
	mean time.Duration
	at   time.Time
	// done sums the times of the finished tasks.
	done  time.Duration
	count int
}

const (
	// usualInterval is how long the mean over a step's tasks holds.
	usualInterval = 100 * time.Millisecond
	// usualLeast is the least number of tasks whose mean replaces the declared and the learned time: tasks of one step are
	// alike, while declared times are off by up to their own size.
	usualLeast = 3
	// usualFallback lengthens the expected time of steps with fewer tasks, which says little of one task.
	usualFallback = 1.5
)

// usual returns how long a task of the step takes on most workers.
func (s *Scheduler) usual(st *stepRun) time.Duration {
	if s.now.Sub(st.time.at) < usualInterval {
		return st.time.mean
	}
	times := make([]time.Duration, 0, len(st.tasks))
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if elapsed, ok := s.elapsed(r); ok && elapsed >= slowLeast {
				times = append(times, r.estimate(elapsed))
			}
		}
	}
	for range st.time.count {
		times = append(times, st.time.done/time.Duration(st.time.count))
	}
	st.time.at = s.now
	if len(times) < usualLeast {
		st.time.mean = time.Duration(usualFallback * float64(s.expected(st)))
		return st.time.mean
	}
	slices.Sort(times)
	// Half of the tasks or fewer are on slow workers.
	st.time.mean = max(times[(len(times)-1)/2], slowLeast)
	return st.time.mean
}

// elapsed returns how long a short task has run, and false for runs whose progress tells nothing: members of gangs wait for
// the others, fillers are slowed down on purpose, and resumed tasks load their checkpoint first.
func (s *Scheduler) elapsed(r *run) (time.Duration, bool) {
	if r.task == nil || r.phase != runPresent || r.present.IsZero() {
		return 0, false
	}
	spec := r.task.step.spec
	if spec.LongRunning || spec.Gang || spec.Filler {
		return 0, false
	}
	elapsed := s.now.Sub(r.present)
	if r.resumed {
		elapsed -= s.Limits.RestoreTime
	}
	return elapsed, elapsed > 0
}

// estimate returns how long the run takes in all at its present speed.
func (r *run) estimate(elapsed time.Duration) time.Duration {
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// rescue starts a task of a run that does not advance on another worker: beside it where copies are allowed, and once it is
// stopped otherwise.
func (s *Scheduler) rescue(r *run) {
	t := r.task
	if len(t.runs) > 1 || t.rescued >= maxRescues {
		return
	}
	w, ticket := s.choose(t, s.others(r.worker))
	if w == nil {
		return
	}
	t.rescued++
	t.failedOn = append(t.failedOn, r.worker.info.ID)
	s.emit(Decision{Name: "run_straggles", Task: t.name, Worker: r.worker.info.ID, Run: r.id.n, Age: s.now.Sub(r.advanced)})
	if t.step.spec.Speculative && s.underCeiling(t.step.job.Team, t.step.spec.Needs) {
		s.startTask(w, t, s.nextRun(t.lastRun), ticket)
		return
	}
	s.stop(r, "the task does not advance")
}

// maxRescues bounds the restarts of one task: a task that is slow everywhere must end somewhere.
const maxRescues = 2

// others returns the usable workers of the same pool that are not slow.
func (s *Scheduler) others(w *worker) []*worker {
	var out []*worker
	for _, o := range s.ordered {
		if o != w && o.info.Pool == w.info.Pool && s.usable(o) && s.slowness(o) < slowFactor {
			out = append(out, o)
		}
	}
	return out
}
