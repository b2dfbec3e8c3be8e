package berylreducer

import "time"

// urgency is the priority class of a request in the local queue.
type urgency int

// The urgencies, the most urgent first; urgencies is their number.
const (
	urgent urgency = iota
	normal
	urgencies
)

// localQueue holds the requests of one pool that wait at this node. It orders them by urgency, then by team, the one with
// the fewest running executions per weight first, then by deadline.
type localQueue struct {
	teams map[string]*teamQueue
	// ready holds, for each urgency, the teams that have such requests waiting and are not blocked by their ceiling.
	ready [urgencies]*priorityQueue[*teamQueue]
	// byStart holds all waiting requests, ordered by the latest time at which they must start.
	byStart *priorityQueue[*request]
	// bounds limits the waiting requests of each queue, by the queue's name.
	bounds   map[string]*queueBound
	forecast [urgencies]workForecast
	// waitingWeight is the sum of the weights of the teams with waiting requests.
	waitingWeight int
}

// teamQueue is one team's part of a local queue.
type teamQueue struct {
	name    string
	weight  int
	running int
	// waiting holds the requests of each urgency, the earliest deadline first.
	waiting [urgencies]*priorityQueue[*request]
	// waitingRunTime is the sum of the estimated run times of the waiting requests.
	waitingRunTime time.Duration
	// blocked is true while the team has no free unit at this node.
	blocked bool
	// index holds the positions in localQueue.ready.
	index [urgencies]int
}

func newLocalQueue() localQueue {
	q := localQueue{
		teams:   map[string]*teamQueue{},
		byStart: newPriorityQueue(earlierStart, func(q *request) *int { return &q.startIndex }),
		bounds:  map[string]*queueBound{},
	}
	for u := range urgencies {
		q.ready[u] = newPriorityQueue(fewerRunning, func(t *teamQueue) *int { return &t.index[u] })
	}
	return q
}

// fewerRunning orders teams by running executions per weight; the fractions are compared without a division.
func fewerRunning(a, b *teamQueue) bool {
	x, y := a.running*b.weight, b.running*a.weight
	if x != y {
		return x < y
	}
	return a.name < b.name
}

func arrivalSequence(q *request) uint64 { return q.sequence }

var (
	earlierStart    = orderByTime(func(q *request) time.Duration { return q.latestStart }, arrivalSequence)
	earlierDeadline = orderByTime(func(q *request) time.Duration { return q.deadline.Mono }, arrivalSequence)
)

func (l *localQueue) len() int { return l.byStart.len() }

// team returns the team's part of the queue, and creates it on first use.
func (l *localQueue) team(name string, weight int) *teamQueue {
	t := l.teams[name]
	if t == nil {
		t = &teamQueue{name: name, weight: max(1, weight)}
		for u := range urgencies {
			t.index[u] = notIndexed
			t.waiting[u] = newPriorityQueue(earlierDeadline, func(q *request) *int { return &q.teamIndex })
		}
		l.teams[name] = t
	}
	return t
}

func (t *teamQueue) hasWaiting() bool { return t.waiting[urgent].len()+t.waiting[normal].len() > 0 }

func (l *localQueue) add(q *request) {
	u := q.urgency()
	if !q.teamQueue.hasWaiting() {
		l.waitingWeight += q.teamQueue.weight
	}
	q.teamQueue.waiting[u].add(q)
	q.teamQueue.waitingRunTime += q.estimatedRunTime
	l.byStart.add(q)
	l.bound(q.Queue).add(q)
	l.forecast[u].add(q)
	l.refreshReady(q.teamQueue)
}

func (l *localQueue) remove(q *request) {
	u := q.urgency()
	q.teamQueue.waiting[u].remove(q)
	q.teamQueue.waitingRunTime -= q.estimatedRunTime
	l.byStart.remove(q)
	l.bound(q.Queue).remove(q)
	l.forecast[u].remove(q)
	if !q.teamQueue.hasWaiting() {
		l.waitingWeight -= q.teamQueue.weight
	}
	l.refreshReady(q.teamQueue)
}

// refreshReady adds the team to the ready queue of each urgency, or removes it, after a change of its waiting requests or
// of blocked.
func (l *localQueue) refreshReady(t *teamQueue) {
	for u := range urgencies {
		ready := !t.blocked && t.waiting[u].len() > 0
		switch {
		case ready && t.index[u] == notIndexed:
			l.ready[u].add(t)
		case !ready:
			l.ready[u].remove(t)
		}
	}
}

// setRunning sets the number of the team's running executions, and moves the team in the ready queues accordingly.
func (l *localQueue) setRunning(t *teamQueue, n int) {
	t.running = n
	for u := range urgencies {
		l.ready[u].fix(t)
	}
}

// next returns the first request in queue order whose team is not blocked.
func (l *localQueue) next() (*request, bool) {
	for u := range urgencies {
		if t, ok := l.ready[u].top(); ok {
			return t.waiting[u].top()
		}
	}
	return nil, false
}
