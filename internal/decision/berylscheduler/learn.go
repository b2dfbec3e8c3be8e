package berylscheduler

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// durationWeight is the weight of a new duration in the moving average.
const durationWeight = 0.2

// learnedDuration is the average duration of the tasks of one kind.
type learnedDuration struct {
	mean  time.Duration
	count int
}

// taskKind returns the key under which durations are averaged: the image, or the queue for tasks without an image.
func taskKind(j *job, spec *beryllatch.JobStep) string {
	if spec.Image != "" {
		return spec.Image
	}
	return j.Queue
}

// recordDuration adds the duration of a completed run to the averages. Runs with a checkpoint don't count, since they may have
// done only part of the work.
func (s *Scheduler) recordDuration(st *stepState, r *run) {
	if r.confirmedAt.IsZero() || r.checkpoint != "" {
		return
	}
	took := s.now.Sub(r.confirmedAt)
	st.durations.finishedTotal += took
	st.durations.finishedCount++
	kind := taskKind(st.job, st.spec)
	l := s.learnedDurations[kind]
	if l == nil {
		l = &learnedDuration{mean: took}
		s.learnedDurations[kind] = l
	}
	l.count++
	l.mean += time.Duration(durationWeight * float64(took-l.mean))
}

// defaultDuration is assumed for tasks without a declared duration and without history.
const defaultDuration = time.Second

// expectedDuration returns how long a task of the step should take. Declared durations are often far off, so the average of
// earlier runs gets the same weight once three of them are known.
func (s *Scheduler) expectedDuration(j *job, spec *beryllatch.JobStep) time.Duration {
	declared := spec.Estimate
	l := s.learnedDurations[taskKind(j, spec)]
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
