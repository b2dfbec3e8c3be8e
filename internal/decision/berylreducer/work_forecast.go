package berylreducer

import "time"

// forecastSlots is the number of intervals of length forecastStep that cover all deadlines, which lie at most maxDeadline
// ahead.
const (
	forecastStep  = time.Second
	forecastSlots = int(maxDeadline/forecastStep) + 4
)

// workForecast sums the estimated run times of the waiting requests by deadline.
type workForecast struct {
	// slots is a ring buffer: the intervals of length forecastStep are counted modulo forecastSlots.
	slots [forecastSlots]time.Duration
	total time.Duration
}

// forecastSlot returns the index of the slot that contains the time.
func forecastSlot(at time.Duration) int { return int(at/forecastStep) % forecastSlots }

func (f *workForecast) add(q *request) {
	f.slots[forecastSlot(q.deadline.Mono)] += q.estimatedRunTime
	f.total += q.estimatedRunTime
}

func (f *workForecast) remove(q *request) {
	f.slots[forecastSlot(q.deadline.Mono)] -= q.estimatedRunTime
	f.total -= q.estimatedRunTime
}

// dueBefore returns the work whose deadlines are from now to the given time, rounded up to whole intervals.
func (f *workForecast) dueBefore(now, until time.Duration) time.Duration {
	if f.total == 0 {
		return 0
	}
	var sum time.Duration
	last := min(until/forecastStep, now/forecastStep+time.Duration(forecastSlots)-1)
	for n := now / forecastStep; n <= last; n++ {
		sum += f.slots[int(n)%forecastSlots]
	}
	return sum
}

// expectedWait estimates how long the request would wait in the queue: the work ahead of it, divided by the number of
// concurrent executions. All work of higher urgency and work of the same urgency with an earlier deadline is ahead of it.
// The team's part of the pool bounds the estimate: the request waits no longer than the team's own waiting work takes at its
// weighted share of the executions.
func (p *poolState) expectedWait(q *request, now time.Duration) time.Duration {
	if p.active == 0 || p.queue.len() == 0 {
		return 0
	}
	l := &p.queue
	ahead := l.forecast[urgent].dueBefore(now, q.deadline.Mono)
	if q.urgency() == normal {
		ahead = l.forecast[urgent].total + l.forecast[normal].dueBefore(now, q.deadline.Mono)
	}
	wait := ahead / time.Duration(p.active)
	own := q.teamQueue.waitingRunTime * time.Duration(l.waitingWeight) / time.Duration(q.teamQueue.weight*p.active)
	return min(wait, own)
}
