package berylreducer

// queueBound counts the waiting requests of one queue and finds the one to give up when the queue is full.
type queueBound struct {
	waiting int
	teams   map[string]*boundTeam
	// largest holds the teams for each urgency, the one with the most waiting per weight first.
	largest [urgencies]*priorityQueue[*boundTeam]
}

// boundTeam is one team's part of a bounded queue.
type boundTeam struct {
	name   string
	weight int
	// last holds the requests of each urgency, the latest deadline first.
	last  [urgencies]*priorityQueue[*request]
	index [urgencies]int
}

func (l *localQueue) bound(queue string) *queueBound {
	b := l.bounds[queue]
	if b == nil {
		b = &queueBound{teams: map[string]*boundTeam{}}
		for u := range urgencies {
			b.largest[u] = newPriorityQueue(waitsMore(u), func(t *boundTeam) *int { return &t.index[u] })
		}
		l.bounds[queue] = b
	}
	return b
}

func waitsMore(u urgency) func(a, b *boundTeam) bool {
	return func(a, b *boundTeam) bool {
		x, y := a.last[u].len()*b.weight, b.last[u].len()*a.weight
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
			t.index[u] = notPlaced
			t.last[u] = newPriorityQueue(func(x, y *request) bool { return endsEarlier(y, x) },
				func(q *request) *int { return &q.boundIndex })
		}
		b.teams[name] = t
	}
	return t
}

func (b *queueBound) add(q *request) {
	b.waiting++
	t, u := b.team(q.team, q.share.weight), q.urgency()
	t.last[u].add(q)
	if t.index[u] == notPlaced {
		b.largest[u].add(t)
		return
	}
	b.largest[u].fix(t)
}

func (b *queueBound) remove(q *request) {
	b.waiting--
	t, u := b.team(q.team, q.share.weight), q.urgency()
	t.last[u].remove(q)
	if t.last[u].len() == 0 {
		b.largest[u].remove(t)
		return
	}
	b.largest[u].fix(t)
}

// victim returns the waiting request that has to give way to q, or nil if q itself is the least urgent. A more urgent
// request displaces a less urgent one; within an urgency, a team displaces one that has more waiting per weight.
func (b *queueBound) victim(q *request) *request {
	u := q.urgency()
	for less := normal; less > u; less-- {
		if t, ok := b.largest[less].top(); ok {
			x, _ := t.last[less].top()
			return x
		}
	}
	t, ok := b.largest[u].top()
	own := b.team(q.team, q.share.weight)
	if !ok || t == own || t.last[u].len()*own.weight <= (own.last[u].len()+1)*t.weight {
		return nil
	}
	x, _ := t.last[u].top()
	return x
}
