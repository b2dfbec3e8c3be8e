package berylscheduler

import "time"

// durationWeight weighs a new observation against the mean so far.
const durationWeight = 0.2

// learnedDuration is the learned duration of the tasks of one kind.
type learnedDuration struct {
	mean  time.Duration
	count int
}

// taskKind names the tasks that behave alike.
func taskKind(st *stepRun) string {
	if st.spec.Image != "" {
		return st.spec.Image
	}
	return st.job.Queue
}

// recordDuration notes how long a run has taken.
func (s *Scheduler) recordDuration(st *stepRun, r *run) {
	if r.confirmedAt.IsZero() || r.checkpoint != "" {
		return
	}
	took := s.now.Sub(r.confirmedAt)
	st.durations.finishedTotal += took
	st.durations.finishedCount++
	l := s.learnedDurations[taskKind(st)]
	if l == nil {
		l = &learnedDuration{mean: took}
		s.learnedDurations[taskKind(st)] = l
	}
	l.count++
	l.mean += time.Duration(durationWeight * float64(took-l.mean))
}

// defaultDuration is assumed of tasks that declare nothing and have no history.
const defaultDuration = time.Second

// expectedDuration returns how long a task of the step should take: declared times are often far off, so history counts as much.
func (s *Scheduler) expectedDuration(st *stepRun) time.Duration {
	declared := st.spec.Estimate
	l := s.learnedDurations[taskKind(st)]
	switch {
	case l == nil && declared == 0:
		return defaultDuration
	case l == nil || l.count < 3:
		return declared
	case declared == 0:
		return l.mean
	}
	return (declared + l.mean) / 2
}
