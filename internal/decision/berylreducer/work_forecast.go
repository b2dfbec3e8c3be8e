package berylreducer

import "time"

// forecastSlots covers every deadline, which lies at most maxDeadline ahead, in steps of forecastStep.
const (
	forecastStep  = time.Second
	forecastSlots = int(maxDeadline/forecastStep) + 4
)

// workForecast sums the learned run times of waiting requests by deadline.
type workForecast struct {
	slots [forecastSlots]time.Duration
	total time.Duration
}

func forecastSlot(at time.Duration) int { return int(at/forecastStep) % forecastSlots }

func (f *workForecast) add(q *request) {
	f.slots[forecastSlot(q.deadline.Mono)] += q.estimatedRunTime
	f.total += q.estimatedRunTime
}

func (f *workForecast) remove(q *request) {
	f.slots[forecastSlot(q.deadline.Mono)] -= q.estimatedRunTime
	f.total -= q.estimatedRunTime
}

// dueBefore sums the work with a deadline up to the given time.
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

// expectedWait estimates how long the request would wait: the work ahead of it over the executions that run at once.
// Work is ahead if its deadline is earlier, but not beyond what the team itself has waiting for its share of the pool.
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
