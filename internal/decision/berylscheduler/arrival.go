package berylscheduler

import (
	"errors"
	"math"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The windows over which arriving work is averaged: the short one shows the start of a burst, the long one bridges the gaps
// between large jobs.
const (
	shortArrivalWindow = 500 * time.Millisecond
	longArrivalWindow  = 1500 * time.Millisecond
)

// meanWorkWeight is the weight of a job in the moving average of the work of jobs.
const meanWorkWeight = 0.02

// arrival is the amount of work of one accepted job.
type arrival struct {
	at   time.Time
	pool string
	// work is in millicore-seconds.
	work float64
	// aboveShare is true if the job's team was above its share of the fleet.
	aboveShare bool
	// offeredBefore is true if the job was refused before, so that its work was offered then.
	offeredBefore bool
}

// recordArrival adds the work of an accepted job to the arrivals; long-running steps don't count.
func (s *Scheduler) recordArrival(j *job) {
	work := s.jobWork(j)
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += meanWorkWeight * (work - s.meanWork)
	s.fleet.arrivals = append(s.fleet.arrivals, arrival{
		at: s.now, pool: j.queue.Pool, work: work, offeredBefore: !j.firstSubmitted.IsZero(),
		aboveShare: j.exceedsShare || s.shared && s.team(j.Team).aboveShare,
	})
}

// jobWork returns the work of a job in millicore-seconds; long-running steps don't count.
func (s *Scheduler) jobWork(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		work += s.stepWork(j, &j.Steps[i])
	}
	return work
}

// stepWork returns the work of a step in millicore-seconds, 0 for a long-running one.
func (s *Scheduler) stepWork(j *job, spec *beryllatch.JobStep) float64 {
	if spec.LongRunning {
		return 0
	}
	return float64(spec.ReservedCapacity().CPUMilli*spec.Count) * s.expectedDuration(j, spec).Seconds()
}

// recordRefused remembers a refused job that may be accepted later, and adds its work to the offered work, once.
func (s *Scheduler) recordRefused(j *beryllatch.Job, err error) {
	var f *beryllatch.Refusal
	if !s.shared || errors.As(err, &f) && f.Reason == beryllatch.ReasonBadRequest {
		return
	}
	returns := !s.admission.firstSubmission(j.ID).IsZero()
	s.admission.remember(j.ID, s.now)
	if q, ok := s.deployment.Queues[j.Queue]; ok && !returns {
		s.fleet.refused = append(s.fleet.refused, arrival{at: s.now, pool: q.Pool, work: s.jobWork(newJob(*j))})
	}
}

// offeredCPU returns, for each pool, the processor capacity in millicores that would keep up with all submitted work, accepted or not,
// averaged over the long window. A job counts with its first submission.
func (s *Scheduler) offeredCPU() map[string]int {
	f := &s.fleet
	f.arrivals, f.refused = dropPast(f.arrivals, s.now), dropPast(f.refused, s.now)
	sums := make(map[string]float64)
	for _, a := range f.refused {
		sums[a.pool] += a.work
	}
	for _, a := range f.arrivals {
		if !a.offeredBefore {
			sums[a.pool] += a.work
		}
	}
	out := make(map[string]int, len(sums))
	for pool, work := range sums {
		out[pool] = int(work / longArrivalWindow.Seconds())
	}
	return out
}

// dropPast returns the arrivals within the long window.
func dropPast(arrivals []arrival, now time.Time) []arrival {
	for len(arrivals) > 0 && now.Sub(arrivals[0].at) > longArrivalWindow {
		arrivals = arrivals[1:]
	}
	return arrivals
}

// arrivingCPU returns, for each pool, the processor capacity in millicores that would keep up with the arriving work, averaged
// over the long and over the short window.
func (s *Scheduler) arrivingCPU() (longTerm, shortTerm map[string]int) {
	f := &s.fleet
	f.arrivals = dropPast(f.arrivals, s.now)
	return f.arrivalRate(s.now, longArrivalWindow), f.arrivalRate(s.now, shortArrivalWindow)
}

const (
	// trendWindow is the length of the two windows that are compared to see whether the arriving work grows.
	trendWindow = 400 * time.Millisecond
	// trendSignificance is by how many standard deviations the numbers of jobs in the two windows must differ: few large jobs
	// vary by chance.
	trendSignificance = 2.0
	// maxGrowth limits a forecast to a multiple of the present rate.
	maxGrowth = 2.5
)

// forecastCPU returns, for each pool with growing work, the processor capacity in millicores that would keep up with the work
// that arrives when an instance ordered now has joined the pool. The load that it answers is the first seconds of a burst: the
// work grows for about as long as a move takes, so that instances ordered for the present rate are always too few.
func (s *Scheduler) forecastCPU() map[string]int {
	type window struct {
		work float64
		jobs int
	}
	recent, before := make(map[string]window), make(map[string]window)
	for _, a := range s.fleet.arrivals {
		w := recent
		switch age := s.now.Sub(a.at); {
		case age > 2*trendWindow:
			continue
		case age > trendWindow:
			w = before
		}
		w[a.pool] = window{w[a.pool].work + a.work, w[a.pool].jobs + 1}
	}
	horizon := (s.Limits.MoveTime + registrationMargin + trendWindow/2).Seconds()
	out := make(map[string]int)
	for pool, r := range recent {
		b := before[pool]
		if float64(r.jobs-b.jobs) < trendSignificance*math.Sqrt(float64(r.jobs+b.jobs)) {
			continue
		}
		rate := r.work / trendWindow.Seconds()
		growth := (r.work - b.work) / trendWindow.Seconds() / trendWindow.Seconds()
		out[pool] = int(min(rate+growth*horizon, maxGrowth*rate))
	}
	return out
}

func (f *fleet) arrivalRate(now time.Time, window time.Duration) map[string]int {
	sums := make(map[string]float64)
	for _, a := range f.arrivals {
		if now.Sub(a.at) <= window {
			sums[a.pool] += a.work
		}
	}
	out := make(map[string]int, len(sums))
	for pool, work := range sums {
		out[pool] = int(work / window.Seconds())
	}
	return out
}
