package berylretry

import (
	"math"
	"time"
)

const (
	// MaxWait is the longest delay. A caller has only 4 retries, and its target counts from its first submission.
	MaxWait = 5 * time.Second

	// windowSeconds is the number of seconds in which callers may return.
	windowSeconds = int(MaxWait / time.Second)
	// excessSeconds is the number of seconds, the last ones of the window, that take the callers for whom there is no capacity.
	excessSeconds = 3
)

// Room is the expected capacity: Rate in jobs per second, available from From on.
type Room struct {
	Rate float64
	From time.Time
}

// capacity returns how many callers may return in one second. A part of a job is not counted, so that no second gets more than the rate.
func (r Room) capacity() int {
	if r.Rate >= 1 {
		return int(min(r.Rate, math.MaxInt32))
	}
	return 0
}

// firstSecond returns the index of the first second in which a caller returns at From or later; windowSeconds if that is after MaxWait.
func (r Room) firstSecond(now time.Time) int {
	wait := min(max(r.From.Sub(now), time.Second), MaxWait+time.Second)
	return int((wait+time.Second-1)/time.Second) - 1
}

// bookings counts the callers that return in one second.
type bookings struct {
	// withinShare and aboveShare count the callers whose team is within its share, and those whose team is above it.
	withinShare, aboveShare int
}

func (b bookings) total() int { return b.withinShare + b.aboveShare }

// Planner plans when refused callers return. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	// second is the beginning of the present second.
	second time.Time
	// window holds the bookings of the seconds after the present one.
	window [windowSeconds]bookings
}

// Book returns the delay after which a caller should return, in whole seconds, at least 1 s and at most MaxWait. overShare is
// true if the caller's team is above its share.
func (p *Planner) Book(now time.Time, room Room, overShare bool) time.Duration {
	p.dropPast(now)
	i := p.choose(room.capacity(), room.firstSecond(now), overShare)
	if overShare {
		p.window[i].aboveShare++
	} else {
		p.window[i].withinShare++
	}
	return time.Duration(i+1) * time.Second
}

// dropPast drops the bookings of past seconds. A delay is relative, so if the clock has gone back by a second or more, the bookings
// are moved back with it.
func (p *Planner) dropPast(now time.Time) {
	passed := now.Sub(p.second) / time.Second
	switch {
	case passed < 0:
		p.second = wholeSecond(now)
	case passed > time.Duration(windowSeconds):
		p.second = wholeSecond(now)
		p.window = [windowSeconds]bookings{}
	case passed > 0:
		p.second = p.second.Add(passed * time.Second)
		kept := copy(p.window[:], p.window[passed:])
		clear(p.window[kept:])
	}
}

// wholeSecond returns the beginning of the second. Unlike Truncate it keeps the monotonic reading, with which steps of the wall clock
// have no effect.
func wholeSecond(t time.Time) time.Time { return t.Add(-time.Duration(t.Nanosecond())) }

// choose returns the index of the second in which a caller should return; first is the first one with capacity.
func (p *Planner) choose(capacity, first int, overShare bool) int {
	for i := first; i < windowSeconds; i++ {
		b := p.window[i]
		if b.total() < capacity && (!overShare || b.aboveShare < capacity/2) {
			return i
		}
	}
	if !overShare {
		// Excess callers above their share don't take the half of a second that is kept for callers within theirs.
		for i := first; i < windowSeconds; i++ {
			if b := p.window[i]; b.withinShare+min(b.aboveShare, capacity/2) < capacity {
				return i
			}
		}
	}
	least := windowSeconds - excessSeconds
	for i := least + 1; i < windowSeconds; i++ {
		if p.window[i].total() < p.window[least].total() {
			least = i
		}
	}
	return least
}
