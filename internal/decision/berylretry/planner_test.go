package berylretry

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start is the beginning of the replayed loads; a whole second, so that the seconds of the planner and of the tests are the same.
var start = time.Unix(1_800_000_000, 0)

// replay books refused callers, counts them by the second of their return, and checks each delay.
type replay struct {
	t       *testing.T
	planner Planner
	// returns counts the callers by class and by the second, from start, in which they return.
	returns map[bool]map[int]int
	// delays counts the callers by class and by their delay in seconds.
	delays map[bool]map[int]int
}

func newReplay(t *testing.T) *replay {
	return &replay{t: t, returns: map[bool]map[int]int{false: {}, true: {}}, delays: map[bool]map[int]int{false: {}, true: {}}}
}

func (r *replay) total(second int) int { return r.returns[false][second] + r.returns[true][second] }

// book books a caller that is refused the given time after start. It fails the test if the delay is no whole second from 1 s to
// MaxWait, or if the second of the return gets more than the rate while the caller might have another one with capacity.
func (r *replay) book(at time.Duration, room Room, overShare bool) time.Duration {
	r.t.Helper()
	delay := r.planner.Book(start.Add(at), room, overShare)
	assert.Assert(r.t, delay >= time.Second && delay <= MaxWait && delay%time.Second == 0, "delay %s", delay)
	second := int((at + delay) / time.Second)
	if float64(r.total(second)+1) > room.Rate {
		for d := time.Second; d <= MaxWait; d += time.Second {
			other := int((at + d) / time.Second)
			open := !start.Add(at + d).Before(room.From)
			if overShare {
				open = open && float64(r.returns[true][other]+1) <= room.Rate/2
			}
			assert.Assert(r.t, !open || float64(r.total(other)+1) > room.Rate,
				"at %s: second %d has %d callers, and second %d only %d", at, second, r.total(second)+1, other, r.total(other))
		}
	}
	r.returns[overShare][second]++
	r.delays[overShare][int(delay/time.Second)]++
	return delay
}

// Guards against callers that are refused in the same second and return in the same second.
func TestRefusalsOfASecondAreSpread(t *testing.T) {
	r := newReplay(t)
	for i := range 1500 {
		r.book(time.Duration(i)*time.Second/1500, Room{Rate: 200, From: start}, false)
	}
	// The 500 callers above the capacity of 5 s are spread over the last 3 s.
	assert.DeepEqual(t, r.returns[false], map[int]int{1: 200, 2: 200, 3: 367, 4: 367, 5: 366})
}

// Guards against seconds that get more than the rate while refusals go on and bookings of past seconds are dropped.
func TestLastingLoadKeepsTheRate(t *testing.T) {
	r := newReplay(t)
	for i := range 30 * 190 {
		at := time.Duration(i) * time.Second / 190
		r.book(at, Room{Rate: 200, From: start.Add(at)}, false)
	}
	for second := 1; second < 30; second++ {
		assert.Equal(t, r.total(second), 190, "second %d", second)
	}
}

// Guards against callers that return before the capacity does.
func TestCallersReturnFromTheTimeOfTheRoom(t *testing.T) {
	r := newReplay(t)
	for i := range 300 {
		at := 300*time.Millisecond + time.Duration(i)*time.Millisecond
		r.book(at, Room{Rate: 200, From: start.Add(2500 * time.Millisecond)}, false)
	}
	// Up to 0.5 s a caller that waits 2 s would return too early.
	assert.DeepEqual(t, r.returns[false], map[int]int{2: 100, 3: 200})
	// Capacity after MaxWait is none for the planner.
	late := newReplay(t)
	for range 9 {
		late.book(0, Room{Rate: 200, From: start.Add(time.Hour)}, false)
	}
	assert.DeepEqual(t, late.returns[false], map[int]int{3: 3, 4: 3, 5: 3})
}

// Guards against callers that all return right after an outage, and against callers that use up their 4 retries during one.
func TestOutageAndItsEnd(t *testing.T) {
	const (
		outage     = 4 * time.Second
		perSecond  = 150
		rate       = 200
		maxRetries = 4
	)
	r := newReplay(t)
	// refused holds the callers' times and numbers of refusals; a caller that returns during the outage is refused again.
	type caller struct {
		at       time.Duration
		refusals int
	}
	waiting := make([]caller, 0, 4*perSecond)
	for i := range 4 * perSecond {
		waiting = append(waiting, caller{at: time.Duration(i) * time.Second / perSecond})
	}
	served := make(map[int]int)
	for len(waiting) > 0 {
		next := 0
		for i, c := range waiting {
			if c.at < waiting[next].at {
				next = i
			}
		}
		c := &waiting[next]
		if c.at >= outage {
			served[int(c.at/time.Second)]++
			waiting[next] = waiting[len(waiting)-1]
			waiting = waiting[:len(waiting)-1]
			continue
		}
		c.refusals++
		assert.Assert(t, c.refusals <= maxRetries)
		c.at += r.book(c.at, Room{Rate: rate, From: start.Add(c.at + max(time.Second, c.at))}, false)
	}
	all := 0
	for second, n := range served {
		assert.Assert(t, n <= rate, "%d callers return in second %d", n, second)
		all += n
	}
	assert.Equal(t, all, 4*perSecond)
	// The bookings end with the outage: a caller that is refused later returns after 1 s.
	assert.Equal(t, r.book(20*time.Second, Room{Rate: rate, From: start}, false), time.Second)
}

// Guards against a team above its share whose callers take the early seconds from callers within their share.
func TestCallersWithinTheirShareReturnFirst(t *testing.T) {
	r := newReplay(t)
	for i := range 1500 {
		// Four of five callers are of the team above its share.
		r.book(time.Duration(i)*time.Second/1500, Room{Rate: 200, From: start}, i%5 > 0)
	}
	assert.Equal(t, r.delays[false][1]+r.delays[false][2]+r.delays[false][3], 300)
	assert.DeepEqual(t, r.returns[false], map[int]int{1: 100, 2: 100, 3: 100})
	assert.Equal(t, r.returns[true][1], 100)
	assert.Equal(t, r.returns[true][2], 100)
	// Also after a second full of callers above their share, the next caller within its share waits 1 s.
	flood := newReplay(t)
	for range 3000 {
		flood.book(0, Room{Rate: 200, From: start}, true)
	}
	assert.Equal(t, flood.returns[true][1], 100)
	assert.Equal(t, flood.book(0, Room{Rate: 200, From: start}, false), time.Second)
	// And 500 of them get what is kept for them, although the later seconds are overbooked.
	for range 499 {
		flood.book(0, Room{Rate: 200, From: start}, false)
	}
	assert.DeepEqual(t, flood.returns[false], map[int]int{1: 100, 2: 100, 3: 100, 4: 100, 5: 100})
}

// Guards against a division by a rate of 0, and against callers that return together while there is no capacity.
func TestNoRate(t *testing.T) {
	for _, rate := range []float64{0, -1, 0.5, math.NaN(), math.Inf(-1)} {
		r := newReplay(t)
		for i := range 300 {
			r.book(0, Room{Rate: rate, From: start}, i%2 == 0)
		}
		for second, want := range []int{0, 0, 0, 100, 100, 100} {
			assert.Equal(t, r.total(second), want, "rate %v, second %d", rate, second)
		}
	}
	// A rate without a bound lets each caller return at once.
	r := newReplay(t)
	for range 300 {
		assert.Equal(t, r.book(0, Room{Rate: math.Inf(1), From: start}, false), time.Second)
	}
}

// Guards against bookings that are lost, or are kept for ever, when the clock goes back: a caller returns after its delay, whatever the clock
// shows by then.
func TestClockGoesBack(t *testing.T) {
	const back = 1000 * time.Second
	for name, step := range map[string]time.Duration{"far": back, "three seconds": 3 * time.Second, "a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			var p Planner
			returns := make(map[int]int)
			for i := range 600 {
				at := time.Duration(i) * time.Second / 300
				clock := start.Add(at)
				if at >= time.Second/2 {
					clock = clock.Add(-step)
				}
				delay := p.Book(clock, Room{Rate: 200, From: clock}, false)
				assert.Assert(t, delay >= time.Second && delay <= MaxWait)
				returns[int((at+delay)/time.Second)]++
			}
			for second, n := range returns {
				assert.Assert(t, n <= 200, "%d callers return in second %d", n, second)
			}
			if step > time.Second {
				assert.DeepEqual(t, returns, map[int]int{1: 200, 2: 200, 3: 200})
			}
		})
	}
	// Callers that read the clock at once may come out of order; a few of them at the turn of a second must not move the bookings.
	var p Planner
	returns := make(map[time.Duration]int)
	for i := range 400 {
		at := 2 * time.Second
		if i%2 == 1 {
			at -= time.Microsecond
		}
		returns[p.Book(start.Add(at), Room{Rate: 200, From: start}, false)]++
	}
	assert.DeepEqual(t, returns, map[time.Duration]int{time.Second: 200, 2 * time.Second: 200})
	// After a step forward, the bookings are past.
	assert.Equal(t, p.Book(start.Add(back), Room{Rate: 200, From: start}, false), time.Second)
	assert.Equal(t, p.window, [windowSeconds]bookings{{withinShare: 1}})
}

func BenchmarkBook(b *testing.B) {
	var p Planner
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Second / 1500)
		p.Book(now, Room{Rate: 200, From: now}, i%5 == 0)
	}
}
