package berylscheduler

import "time"

// The windows over which arriving work is averaged: the short one shows the start of a burst, the long one bridges the gaps
// between large jobs.
const (
	shortArrivalWindow = 500 * time.Millisecond
	longArrivalWindow  = 1500 * time.Millisecond
)

// arrival is the amount of work of one accepted job.
type arrival struct {
	at   time.Time
	pool string
	// work is in millicore-seconds.
	work float64
}

// recordArrival adds the work of an accepted job to the arrivals; long-running steps don't count.
func (s *Scheduler) recordArrival(j *job) {
	work := 0.0
	for _, st := range j.open(0).steps {
		if !st.spec.LongRunning {
			work += float64(st.spec.ReservedCapacity().CPUMilli*st.spec.Count) * s.expectedDuration(st).Seconds()
		}
	}
	s.fleet.arrivals = append(s.fleet.arrivals, arrival{s.now, j.pool, work})
}

// arrivingCPU returns, for each pool, the processor capacity in millicores that would keep up with the arriving work, averaged
// over the long and over the short window.
func (s *Scheduler) arrivingCPU() (longTerm, shortTerm map[string]int) {
	f := &s.fleet
	for len(f.arrivals) > 0 && s.now.Sub(f.arrivals[0].at) > longArrivalWindow {
		f.arrivals = f.arrivals[1:]
	}
	return f.arrivalRate(s.now, longArrivalWindow), f.arrivalRate(s.now, shortArrivalWindow)
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
