package berylreducer

// queueBound counts the waiting requests of one queue and determines which one to refuse when the queue is full.
type queueBound struct {
	waiting int
	teams   map[string]*boundTeam
	// byMostWaiting holds, for each urgency, the teams with waiting requests, the most waiting per weight first.
	byMostWaiting [urgencies]*priorityQueue[*boundTeam]
}

// boundTeam holds one team's waiting requests of one queue.
type boundTeam struct {
	name   string
	weight int
	// byLatestDeadline holds the requests of each urgency, the latest deadline first.
	byLatestDeadline [urgencies]*priorityQueue[*request]
	// index holds the positions in queueBound.byMostWaiting.
	index [urgencies]int
}

// bound returns the bound of the named queue, and creates it on first use.
func (l *localQueue) bound(queue string) *queueBound {
	b := l.bounds[queue]
	if b == nil {
		b = &queueBound{teams: map[string]*boundTeam{}}
		for u := range urgencies {
			b.byMostWaiting[u] = newPriorityQueue(moreWaiting(u), func(t *boundTeam) *int { return &t.index[u] })
		}
		l.bounds[queue] = b
	}
	return b
}

// moreWaiting returns the order of teams by waiting requests per weight, the most first.
func moreWaiting(u urgency) func(a, b *boundTeam) bool {
	return func(a, b *boundTeam) bool {
		x, y := a.byLatestDeadline[u].len()*b.weight, b.byLatestDeadline[u].len()*a.weight
		if x != y {
			return x > y
		}
		return a.name < b.name
	}
}

func (b *queueBound) team(name string, weight int) *boundTeam {
	t := b.teams[name]
	if t == nil {
		t = &boundTeam{name: name, weight: weight}
		for u := range urgencies {
			t.index[u] = notIndexed
			t.byLatestDeadline[u] = newPriorityQueue(func(x, y *request) bool { return earlierDeadline(y, x) },
				func(q *request) *int { return &q.boundIndex })
		}
		b.teams[name] = t
	}
	return t
}

func (b *queueBound) add(q *request) {
	b.waiting++
	t, u := b.team(q.team, q.teamQueue.weight), q.urgency()
	t.byLatestDeadline[u].add(q)
	if t.index[u] == notIndexed {
		b.byMostWaiting[u].add(t)
		return
	}
	b.byMostWaiting[u].fix(t)
}

func (b *queueBound) remove(q *request) {
	b.waiting--
	t, u := b.team(q.team, q.teamQueue.weight), q.urgency()
	t.byLatestDeadline[u].remove(q)
	if t.byLatestDeadline[u].len() == 0 {
		b.byMostWaiting[u].remove(t)
		return
	}
	b.byMostWaiting[u].fix(t)
}

// victim returns the waiting request to refuse so that q can be queued, or nil if q itself must be refused. A less urgent
// request is replaced first. Among requests of the same urgency, it is one of the team with the most waiting per weight, if
// that is more than q's team would have with q.
func (b *queueBound) victim(q *request) *request {
	u := q.urgency()
	for less := normal; less > u; less-- {
		if t, ok := b.byMostWaiting[less].top(); ok {
			x, _ := t.byLatestDeadline[less].top()
			return x
		}
	}
	t, ok := b.byMostWaiting[u].top()
	own := b.team(q.team, q.teamQueue.weight)
	if !ok || t == own || t.byLatestDeadline[u].len()*own.weight <= (own.byLatestDeadline[u].len()+1)*t.weight {
		return nil
	}
	x, _ := t.byLatestDeadline[u].top()
	return x
}
