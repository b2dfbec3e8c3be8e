package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// rampedArrivals returns a scheduler that has seen the work of a pool grow evenly from zero to perSecond jobs a second within the
// given time, each with one core for one second.
func rampedArrivals(perSecond float64, ramp time.Duration) *Scheduler {
	s := testScheduler(1, 1)
	began := time.Unix(1_800_000_000, 0)
	submitted := 0
	for at := time.Duration(0); at <= ramp; at += 10 * time.Millisecond {
		s.now = began.Add(at)
		due := perSecond / 2 * at.Seconds() * at.Seconds() / ramp.Seconds()
		for ; float64(submitted) < due; submitted++ {
			s.fleet.arrivals = append(s.fleet.arrivals, arrival{at: s.now, pool: "p", work: 1000})
		}
	}
	return s
}

// A queue rises to five times its mean within two seconds. Halfway, the instances that are ordered must keep up with what
// arrives when they have joined the pool, and not with what arrives now.
func TestForecastFollowsARisingQueue(t *testing.T) {
	s := rampedArrivals(200, time.Second)
	joined := s.Limits.MoveTime + registrationMargin
	later := 200 * (1 + joined.Seconds()) * 1000
	_, shortTerm := s.arrivingCPU()
	forecast := float64(s.forecastCPU()["p"])
	assert.Assert(t, float64(shortTerm["p"]) < 0.4*later, "%d", shortTerm["p"])
	assert.Assert(t, forecast > 0.7*later && forecast < 1.3*later, "%.0f of %.0f", forecast, later)
}

// Even arrivals, falling ones and a few large jobs must not look like the start of a burst.
func TestForecastNeedsGrowth(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, ages := range map[string][]time.Duration{
		"none":           nil,
		"even":           {50, 150, 250, 350, 450, 550, 650, 750},
		"falling":        {350, 420, 440, 460, 500, 540, 580, 620, 660, 700, 740, 780},
		"two large jobs": {100, 200},
		"three, one old": {100, 150, 200, 700},
	} {
		t.Run(name, func(t *testing.T) {
			s := testScheduler(1, 1)
			s.now = now
			for i := len(ages) - 1; i >= 0; i-- {
				s.fleet.arrivals = append(s.fleet.arrivals, arrival{at: now.Add(-ages[i] * time.Millisecond), pool: "p", work: 50_000})
			}
			assert.Equal(t, len(s.forecastCPU()), 0)
		})
	}
}

// When the burst passes from one queue to the next, the pool of the first keeps its instances for a while. Those that are idle
// must go to the second at once.
func TestIdleInstancesOfAPastPeakGoToTheNextBurst(t *testing.T) {
	s := testScheduler(1, 1)
	s.now = time.Unix(1_800_000_000, 0)
	s.fleet.instances = make(map[string]beryllatch.FleetInstance)
	past := &poolDemand{name: "past", supply: 10, target: 10, minimum: 4}
	for n := range 8 {
		past.idleInstances = append(past.idleInstances, fmt.Sprint(n))
	}
	next := &poolDemand{name: "next", supply: 3, target: 20, minimum: 20}
	pools := []*poolDemand{next, past}
	for range 6 {
		assert.Assert(t, s.takeDonor(pools, next, donorFilter{}) != "")
	}
	assert.Equal(t, s.takeDonor(pools, next, donorFilter{}), "", "the pool keeps what it needs now")
	assert.Equal(t, s.takeDonor(pools, past, donorFilter{}), "", "a pool is not its own donor")
}

// An instance that has just become idle must not go to standby: the burst passes to the next queue, and the instance would reach
// that pool only after a second move.
func TestInstancesWaitBeforeTheyGoToStandby(t *testing.T) {
	h := newHarness(t)
	var list []beryllatch.FleetInstance
	var ids []string
	for n := range 10 {
		id := fmt.Sprintf("w%d", n)
		ids = append(ids, id)
		list = append(list, beryllatch.FleetInstance{
			Name: "m-" + id, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: id, Capacity: workerInfo(id).Capacity, DataCentre: "dc1",
		})
	}
	h.register(ids...)
	h.s.fleet.peaks = map[string]poolPeak{"p": {hadBurst: true}}
	moved := func() int {
		n := 0
		for _, f := range h.otherEffects {
			if m, ok := f.(MoveInstance); ok {
				assert.Equal(t, m.Pool, "spare")
				n++
			}
		}
		return n
	}
	h.tickFor(100 * time.Millisecond)
	h.apply(InstancesListed{Instances: list})
	h.tickFor(standbyDelay - time.Second)
	assert.Equal(t, moved(), 0)
	h.tickFor(2 * time.Second)
	assert.Equal(t, moved(), len(ids)-poolReserve)
}
