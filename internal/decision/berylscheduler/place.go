package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// unsettledCeiling is the share of a ceiling that is used while runs may exist that this epoch has not seen.
const unsettledCeiling = 0.6

// candidate is a step with tasks that wait for a worker.
type candidate struct {
	step     *stepRun
	pool     string
	priority int
	// late steps cannot meet their objective any more.
	late bool
	// beyond marks steps of jobs beyond their team's share.
	beyond bool
	// startBy is the latest start that meets the objective.
	startBy time.Time
}

// place starts waiting tasks: urgent queues first, then those that can still be on time, of teams within their share before
// others, by their latest start. This is for bursts beyond what a pool holds: work that is late anyway must not make the rest
// late.
func (s *Scheduler) place() {
	pools := make(map[string]*poolRoom)
	for _, w := range s.ordered {
		w.reserved = nil
		if s.usable(w) {
			p := pools[w.info.Pool]
			if p == nil {
				p = &poolRoom{}
				pools[w.info.Pool] = p
			}
			p.workers = append(p.workers, w)
		}
	}
	for _, p := range pools {
		p.measure()
	}
	s.unsettled = s.unsettledPools()
	for _, c := range s.candidates(pools) {
		if s.starting >= maxStarting {
			return
		}
		s.placeStep(c, pools[c.pool])
	}
}

// poolRoom is the usable workers of a pool, and the room that the emptiest have. In a burst most waiting steps find a full
// pool: one comparison passes them over.
type poolRoom struct {
	workers []*worker
	// most is at least what any worker has free, in each dimension.
	most beryllatch.Resources
	// reserved counts the workers that are kept free for a step.
	reserved int
}

// measure takes the free room of the workers anew.
func (p *poolRoom) measure() {
	p.most = beryllatch.Resources{}
	for _, w := range p.workers {
		free := w.info.Capacity.Minus(w.used)
		p.most.CPUMilli = max(p.most.CPUMilli, free.CPUMilli)
		p.most.MemoryMB = max(p.most.MemoryMB, free.MemoryMB)
		p.most.Accelerators = max(p.most.Accelerators, free.Accelerators)
	}
}

// candidates returns the waiting steps that may find room, in the order in which they get it.
func (s *Scheduler) candidates(pools map[string]*poolRoom) []candidate {
	var out []candidate
	for _, j := range s.active {
		if !j.row.known {
			continue
		}
		q, ok := s.queueOf(j)
		if !ok || pools[q.Pool] == nil || !s.settled(j, q.Pool) {
			continue
		}
		for o, st := range j.waitingSteps {
			if st.spec.LongRunning || !st.blocked.IsZero() || st.spec.ReservedCapacity().Fits(pools[q.Pool].most) {
				out = append(out, s.candidate(q, st, o))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return cmp.Or(lastOf(a.late, b.late), lastOf(a.beyond, b.beyond), a.startBy.Compare(b.startBy))
	})
	return out
}

// lastOf orders what is marked behind what is not.
func lastOf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (s *Scheduler) candidate(q beryllatch.JobQueue, st *stepRun, o *occurrence) candidate {
	total, rest := s.chains(o)
	due := o.due.Add(time.Duration(q.Slack*float64(total)) + q.Latency)
	c := candidate{step: st, pool: q.Pool, priority: q.Priority, beyond: st.job.beyond, startBy: due.Add(-rest)}
	c.late = !st.spec.LongRunning && s.now.After(c.startBy)
	if st.spec.LongRunning {
		c.startBy = o.due
	}
	return c
}

// chains returns the longest chain of steps of an occurrence, and the longest one that is left.
func (s *Scheduler) chains(o *occurrence) (total, rest time.Duration) {
	totals := make([]time.Duration, len(o.steps))
	rests := make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, a := range st.spec.After {
			totals[i] = max(totals[i], totals[a])
			rests[i] = max(rests[i], rests[a])
		}
		d := s.expected(st)
		totals[i] += d
		if st.left > 0 {
			rests[i] += d
		}
		total, rest = max(total, totals[i]), max(rest, rests[i])
	}
	return total, rest
}

// placeStep starts as many tasks of the step as there is room for.
func (s *Scheduler) placeStep(c candidate, room *poolRoom) {
	if c.step.spec.Gang {
		s.placeGang(c, room.workers)
		return
	}
	for _, t := range c.step.tasks {
		if t.done || len(t.runs) > 0 || s.now.Before(t.notBefore) {
			continue
		}
		if s.starting >= maxStarting {
			return
		}
		if !s.underCeiling(t.step.job.Team, t.step.spec.Needs) {
			return
		}
		var w *worker
		var ticket string
		if t.step.spec.ReservedCapacity().Fits(room.most) {
			w, ticket = s.choose(t, room.workers)
		}
		if w == nil {
			room.measure()
			if !c.late {
				s.keepRoom(t, room)
			}
			return
		}
		t.step.blocked = time.Time{}
		s.startTask(w, t, s.nextRun(t.lastRun), ticket)
	}
}

// underCeiling reports whether the team may have so much more running.
func (s *Scheduler) underCeiling(team string, more beryllatch.Resources) bool {
	t, ok := s.deployment.Teams[team]
	if !ok {
		return true
	}
	factor := 1.0
	if len(s.unsettled) > 0 {
		factor = unsettledCeiling
	}
	used := s.team(team).used.Plus(more)
	within := func(used, limit int) bool { return limit == 0 || float64(used) <= factor*float64(limit) }
	return within(used.CPUMilli, t.Ceiling.CPUMilli) && within(used.MemoryMB, t.Ceiling.MemoryMB) &&
		within(used.Accelerators, t.Ceiling.Accelerators)
}

// choose returns the worker on which a task costs least, and its ticket; nil if there is none.
func (s *Scheduler) choose(t *task, workers []*worker) (*worker, string) {
	var best *worker
	var bestTicket string
	bestCost := 0.0
	restricted := s.restricted(t.step)
	for _, w := range workers {
		if !s.fits(t, w) {
			continue
		}
		ticket := ""
		if restricted {
			if ticket = s.ticket(t.step, w); ticket == "" {
				continue
			}
		}
		if cost := s.cost(t, w); best == nil || cost < bestCost {
			best, bestCost, bestTicket = w, cost, ticket
		}
	}
	if best == nil {
		s.wantAdvice(t.step, workers)
	}
	return best, bestTicket
}

// fits reports whether a worker has room for a task and may run it.
func (s *Scheduler) fits(t *task, w *worker) bool {
	spec := t.step.spec
	if w.starting >= maxStartingOnWorker && !spec.Gang || w.reserved != nil && w.reserved != t.step {
		return false
	}
	return w.used.Plus(spec.ReservedCapacity()).Fits(w.info.Capacity) && s.suits(t, w)
}

// suits reports whether a worker may run a task, whatever room it has.
func (s *Scheduler) suits(t *task, w *worker) bool {
	spec := t.step.spec
	if spec.RequiredLabel != "" && !w.info.HasLabel(spec.RequiredLabel) {
		return false
	}
	return spec.MaxPerWorker == 0 || s.onWorker(t.step, w) < spec.MaxPerWorker
}

// onWorker counts the runs of a step on a worker.
func (s *Scheduler) onWorker(st *stepRun, w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step == st {
			n++
		}
	}
	return n
}

// The costs of a placement, in shares of a task's duration.
const (
	failedHereCost = 2.0
	// freeCost fills workers one after the other, so that idle instances can move.
	freeCost = 0.5
	// companionCost keeps long-running tasks together, so that the other instances can move.
	companionCost = 0.4
	// siblingCost keeps tasks of a step apart that must not miss at the same time.
	siblingCost = 1.0
)

// cost estimates what a placement costs: distance from the data, a worker that has failed the task, an idle instance kept busy.
func (s *Scheduler) cost(t *task, w *worker) float64 {
	cost := 0.0
	if rack := t.step.spec.DataRack; rack != "" && !w.info.HasLabel(rack) {
		cost += s.Limits.RemoteFactor - 1
	}
	if slices.Contains(t.failedOn, w.info.ID) {
		cost += failedHereCost
	}
	cost += s.slowness(w) - 1
	if t.step.spec.LongRunning {
		if !w.serves() {
			cost += companionCost
		}
		cost += siblingCost * float64(s.onWorker(t.step, w))
	}
	if w.info.Capacity.CPUMilli > 0 {
		cost += freeCost * float64(w.info.Capacity.CPUMilli-w.used.CPUMilli) / float64(w.info.Capacity.CPUMilli)
	}
	return cost
}

// serves reports whether the worker runs a long-running task.
func (w *worker) serves() bool { return w.serving > 0 }

// placeGang starts a gang when all its members have room at the same moment; a gang that should share a rack prefers one.
func (s *Scheduler) placeGang(c candidate, workers []*worker) {
	st := c.step
	for _, t := range st.tasks {
		// A gang starts again only after all members have ended.
		if t.done || len(t.runs) > 0 || s.now.Before(t.notBefore) {
			return
		}
	}
	if !s.underCeiling(st.job.Team, st.spec.Needs.Times(len(st.tasks))) {
		return
	}
	placed := s.planGang(st, workers)
	if placed == nil {
		s.wantAdvice(st, workers)
		return
	}
	n := s.nextRun(st.lastRun)
	saved := ""
	for _, t := range st.tasks {
		saved = max(saved, t.saved)
	}
	for i, t := range st.tasks {
		// All members must carry the same checkpoint.
		t.saved = saved
		ticket := ""
		if s.restricted(st) {
			ticket = s.ticket(st, placed[i])
		}
		s.startTask(placed[i], t, n, ticket)
	}
}

// planGang returns a worker for each member, or nil.
func (s *Scheduler) planGang(st *stepRun, workers []*worker) []*worker {
	if st.spec.SameRack {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range workers {
			if racks[w.info.Rack] == nil {
				names = append(names, w.info.Rack)
			}
			racks[w.info.Rack] = append(racks[w.info.Rack], w)
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(dataLast(st, a)-dataLast(st, b), cmp.Compare(a, b))
		})
		for _, n := range names {
			if placed := s.planMembers(st, racks[n]); placed != nil {
				return placed
			}
		}
	}
	return s.planMembers(st, workers)
}

// dataLast orders the rack with the data before the others.
func dataLast(st *stepRun, rack string) int {
	if rack == st.spec.DataRack {
		return 0
	}
	return 1
}

func (s *Scheduler) planMembers(st *stepRun, workers []*worker) []*worker {
	type room struct {
		free  beryllatch.Resources
		count int
	}
	rooms := make(map[*worker]*room, len(workers))
	restricted := s.restricted(st)
	var placed []*worker
	for _, t := range st.tasks {
		var best *worker
		bestCost := 0.0
		for _, w := range workers {
			r := rooms[w]
			if r == nil {
				r = &room{free: w.info.Capacity.Minus(w.used)}
				rooms[w] = r
			}
			if restricted && s.ticket(st, w) == "" || !st.spec.ReservedCapacity().Fits(r.free) || !s.fits(t, w) {
				continue
			}
			if st.spec.MaxPerWorker > 0 && r.count >= st.spec.MaxPerWorker {
				continue
			}
			if cost := s.cost(t, w); best == nil || cost < bestCost {
				best, bestCost = w, cost
			}
		}
		if best == nil {
			return nil
		}
		rooms[best].free = rooms[best].free.Minus(st.spec.ReservedCapacity())
		rooms[best].count++
		placed = append(placed, best)
	}
	return placed
}
