package berylscheduler

import "time"

// The spans over which the arriving work is averaged: the short one sees a burst begin, the long one bridges the gaps between
// large jobs.
const (
	suddenWindow = 500 * time.Millisecond
	steadyWindow = 1500 * time.Millisecond
)

// arrival is the work of an accepted job.
type arrival struct {
	at   time.Time
	pool string
	// work is in thousandths of a core times seconds.
	work float64
}

// noteArrival remembers the work of an accepted job.
func (s *Scheduler) noteArrival(j *job) {
	work := 0.0
	for _, st := range j.open(0).steps {
		if !st.spec.LongRunning {
			work += float64(st.spec.ReservedCapacity().CPUMilli*st.spec.Count) * s.expected(st).Seconds()
		}
	}
	s.fleet.arrivals = append(s.fleet.arrivals, arrival{s.now, j.pool, work})
}

// arrivingCPU returns the capacity, in thousandths of a core, that keeps up with the work that arrives at each pool, over the
// long and over the short span.
func (s *Scheduler) arrivingCPU() (steady, sudden map[string]int) {
	f := &s.fleet
	for len(f.arrivals) > 0 && s.now.Sub(f.arrivals[0].at) > steadyWindow {
		f.arrivals = f.arrivals[1:]
	}
	return f.arrivalRate(s.now, steadyWindow), f.arrivalRate(s.now, suddenWindow)
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
