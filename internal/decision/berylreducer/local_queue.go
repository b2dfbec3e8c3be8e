package berylreducer

import "time"

// urgency is the class of a request in the local queue.
type urgency int

// The urgencies, the most urgent first.
const (
	urgent urgency = iota
	normal
	urgencies
)

// localQueue holds the requests of one pool that wait at this node: urgent ones first, then those of the team with the
// least running per weight, then those with the earliest deadline.
type localQueue struct {
	teams map[string]*queueTeam
	// ready holds the teams with waiting requests that are not blocked by their ceiling.
	ready [urgencies]*priorityQueue[*queueTeam]
	// byStart holds all waiting requests, the one that must start first on top.
	byStart  *priorityQueue[*request]
	bounds   map[string]*queueBound
	forecast [urgencies]workForecast
	// waitingWeight is the sum of the weights of the teams with waiting requests.
	waitingWeight int
}

// queueTeam is one team's part of a local queue.
type queueTeam struct {
	name    string
	weight  int
	running int
	// waiting holds the requests of each urgency, the earliest deadline first.
	waiting [urgencies]*priorityQueue[*request]
	// work is the learned run time of all that waits.
	work time.Duration
	// blocked is true while the team has no free unit at this node.
	blocked bool
	index   [urgencies]int
}

func newLocalQueue() localQueue {
	q := localQueue{
		teams:   map[string]*queueTeam{},
		byStart: newPriorityQueue(startsEarlier, func(q *request) *int { return &q.startIndex }),
		bounds:  map[string]*queueBound{},
	}
	for u := range urgencies {
		q.ready[u] = newPriorityQueue(runsLess, func(t *queueTeam) *int { return &t.index[u] })
	}
	return q
}

// runsLess orders teams by running per weight, without a division.
func runsLess(a, b *queueTeam) bool {
	x, y := a.running*b.weight, b.running*a.weight
	if x != y {
		return x < y
	}
	return a.name < b.name
}

func arrivalNumber(q *request) uint64 { return q.sequence }

var (
	startsEarlier = earlier(func(q *request) time.Duration { return q.startBefore }, arrivalNumber)
	endsEarlier   = earlier(func(q *request) time.Duration { return q.deadline.Mono }, arrivalNumber)
)

func (l *localQueue) len() int { return l.byStart.len() }

// team returns the named team's part, which is created on first use.
func (l *localQueue) team(name string, weight int) *queueTeam {
	t := l.teams[name]
	if t == nil {
		t = &queueTeam{name: name, weight: max(1, weight)}
		for u := range urgencies {
			t.index[u] = notPlaced
			t.waiting[u] = newPriorityQueue(endsEarlier, func(q *request) *int { return &q.index })
		}
		l.teams[name] = t
	}
	return t
}

func (t *queueTeam) waits() bool { return t.waiting[urgent].len()+t.waiting[normal].len() > 0 }

// add queues the request.
func (l *localQueue) add(q *request) {
	u := q.urgency()
	if !q.share.waits() {
		l.waitingWeight += q.share.weight
	}
	q.share.waiting[u].add(q)
	q.share.work += q.cost
	l.byStart.add(q)
	l.bound(q.Queue).add(q)
	l.forecast[u].add(q)
	l.offer(q.share)
}

// remove takes the request out.
func (l *localQueue) remove(q *request) {
	u := q.urgency()
	q.share.waiting[u].remove(q)
	q.share.work -= q.cost
	l.byStart.remove(q)
	l.bound(q.Queue).remove(q)
	l.forecast[u].remove(q)
	if !q.share.waits() {
		l.waitingWeight -= q.share.weight
	}
	l.offer(q.share)
}

// offer makes the team ready for each urgency in which it has something to start.
func (l *localQueue) offer(t *queueTeam) {
	for u := range urgencies {
		want := !t.blocked && t.waiting[u].len() > 0
		switch {
		case want && t.index[u] == notPlaced:
			l.ready[u].add(t)
		case !want:
			l.ready[u].remove(t)
		}
	}
}

// setRunning changes the team's rank.
func (l *localQueue) setRunning(t *queueTeam, n int) {
	t.running = n
	for u := range urgencies {
		l.ready[u].fix(t)
	}
}

// next returns the request that comes first among the teams that are not blocked.
func (l *localQueue) next() (*request, bool) {
	for u := range urgencies {
		if t, ok := l.ready[u].top(); ok {
			return t.waiting[u].top()
		}
	}
	return nil, false
}
