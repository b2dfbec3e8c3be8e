package berylscheduler

import "time"

// learningRate weighs a new observation against the mean so far.
const learningRate = 0.2

// runTime is the learned duration of the tasks of one kind.
type runTime struct {
	mean  time.Duration
	count int
}

// kindOf names the tasks that behave alike.
func kindOf(st *stepRun) string {
	if st.spec.Image != "" {
		return st.spec.Image
	}
	return st.job.Queue
}

// learn notes how long a run has taken.
func (s *Scheduler) learn(st *stepRun, r *run) {
	if r.present.IsZero() || r.checkpoint != "" {
		return
	}
	took := s.now.Sub(r.present)
	st.time.done += took
	st.time.count++
	l := s.learned[kindOf(st)]
	if l == nil {
		l = &runTime{mean: took}
		s.learned[kindOf(st)] = l
	}
	l.count++
	l.mean += time.Duration(learningRate * float64(took-l.mean))
}

// fallbackRunTime is assumed of tasks that declare nothing and have no history.
const fallbackRunTime = time.Second

// expected returns how long a task of the step should take: declared times are often far off, so history counts as much.
func (s *Scheduler) expected(st *stepRun) time.Duration {
	declared := st.spec.Estimate
	l := s.learned[kindOf(st)]
	switch {
	case l == nil && declared == 0:
		return fallbackRunTime
	case l == nil || l.count < 3:
		return declared
	case declared == 0:
		return l.mean
	}
	return (declared + l.mean) / 2
}
