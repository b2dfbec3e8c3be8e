package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// candidate is a step with tasks that wait for a worker, with the values that decide its place in the order.
type candidate struct {
	step     *stepState
	pool     string
	priority int
	// late is true if the step can no longer meet its objective.
	late bool
	// exceedsShare is true if the job was accepted when its team had submitted more jobs a second than its weight.
	exceedsShare bool
	// class and begun count only where the configuration has shares; begun is true if the job has begun, or has an order to start.
	class stepClass
	begun bool
	// unplanned is true for steps that are new or deferred, as of the last tick.
	unplanned bool
	// startBy is the latest start that meets the objective.
	startBy time.Time
	timing  *stepTiming
	// team is set for the steps that a tick classifies.
	team *teamUsage
}

// place starts waiting tasks in the order of compareWaiting. When a burst exceeds the pool's capacity, work that is late anyway must not
// delay the rest.
func (s *Scheduler) place() {
	pools := make(map[string]*poolWorkers)
	for _, w := range s.sortedWorkers {
		w.reserved = nil
		usable := s.usable(w)
		if !usable && !s.canPrepare(w) {
			continue
		}
		p := pools[w.info.Pool]
		if p == nil {
			p = &poolWorkers{}
			pools[w.info.Pool] = p
		}
		if usable {
			w.preparingSince = time.Time{}
			p.workers = append(p.workers, w)
		} else {
			p.unprepared = append(p.unprepared, w)
		}
	}
	for _, j := range s.active {
		// The steps of other jobs are all open.
		if j.Repeat > 0 {
			s.openSteps(j)
		}
	}
	s.prepareWorkers(pools)
	for _, p := range pools {
		p.updateMaxFree()
	}
	s.unsyncedPools = s.findUnsyncedPools()
	s.updateUnknownUse()
	for _, c := range s.candidates(pools) {
		if s.pendingStarts >= maxPendingStarts {
			return
		}
		s.placeStep(c, pools[c.pool])
	}
}

// poolWorkers is the usable workers of a pool, and those that are not prepared yet. In a burst most waiting steps find a full
// pool; one comparison with maxFree rules them out.
type poolWorkers struct {
	workers, preparing, unprepared []*worker
	// demands is the room that waiting tasks need, restricted the number of steps of restricted queues among them.
	demands    []*roomDemand
	restricted int
	// maxFree is, for each resource, at least the largest free amount on any worker.
	maxFree beryllatch.Resources
	// reservations counts the workers that are kept free for a step in this pass.
	reservations int
}

// updateMaxFree computes maxFree from the present use of the workers.
func (p *poolWorkers) updateMaxFree() {
	p.maxFree = beryllatch.Resources{}
	for _, w := range p.workers {
		free := w.info.Capacity.Minus(w.used)
		p.maxFree.CPUMilli = max(p.maxFree.CPUMilli, free.CPUMilli)
		p.maxFree.MemoryMB = max(p.maxFree.MemoryMB, free.MemoryMB)
		p.maxFree.Accelerators = max(p.maxFree.Accelerators, free.Accelerators)
	}
}

// candidates returns the waiting steps that may find room, in the order in which they are placed.
func (s *Scheduler) candidates(pools map[string]*poolWorkers) []candidate {
	var out []candidate
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		q := j.queue
		if pools[q.Pool] == nil || len(pools[q.Pool].workers) == 0 || !s.jobSynced(j) {
			continue
		}
		for st := range j.waitingSteps {
			// Only a job that can start needs the record.
			if !s.recordPool(j, q.Pool) {
				break
			}
			if st.spec.LongRunning || st.overdue || !st.blockedSince.IsZero() || st.spec.ReservedCapacity().Fits(pools[q.Pool].maxFree) {
				out = append(out, s.candidate(q, st))
			}
		}
	}
	slices.SortStableFunc(out, compareWaiting)
	return out
}

// falseFirst compares two flags for sorting: false comes before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (s *Scheduler) candidate(q beryllatch.JobQueue, st *stepState) candidate {
	t := s.timing(st)
	c := candidate{step: st, pool: q.Pool, priority: q.Priority, exceedsShare: st.job.exceedsShare, startBy: t.startBy, timing: t}
	c.late = !st.spec.LongRunning && s.now.After(c.startBy)
	if st.spec.LongRunning {
		c.startBy = st.job.dueAt(st.occurrence)
	}
	if s.shared {
		c.class = s.classOf(c)
		c.begun = (st.job.begun || st.job.bookedRuns > 0) && !c.late && st.job.Repeat == 0 && !st.spec.LongRunning
	} else if c.late {
		c.class = classLate
	}
	if st.job.Repeat > 0 && (c.late || st.spec.LongRunning) {
		// Occurrences that have long been due take their turn with the late work of other jobs.
		c.startBy = laterTime(c.startBy, st.openedAt)
	}
	return c
}

// criticalPaths returns the expected duration of the longest chain of dependent steps in an occurrence, for all steps and for
// those that are not done.
func (s *Scheduler) criticalPaths(j *job, occurrence int) (total, rest time.Duration) {
	totals := make([]time.Duration, len(j.Steps))
	rests := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		spec := &j.Steps[i]
		for _, a := range spec.After {
			totals[i] = max(totals[i], totals[a])
			rests[i] = max(rests[i], rests[a])
		}
		d := s.expectedDuration(j, spec)
		totals[i] += d
		if !j.isDone(stepKey{occurrence, i}) {
			rests[i] += d
		}
		total, rest = max(total, totals[i]), max(rest, rests[i])
	}
	return total, rest
}

// placeStep starts as many tasks of the step as there is room for, and may keep a worker free for the next one.
func (s *Scheduler) placeStep(c candidate, pool *poolWorkers) {
	if c.step.spec.Gang {
		s.placeGang(c, pool.workers)
		return
	}
	for _, t := range c.step.tasks {
		if t.done || len(t.runs) > 0 || s.now.Before(t.notBefore) {
			continue
		}
		if s.pendingStarts >= maxPendingStarts {
			return
		}
		if !s.underCeiling(t.step.job.Team, t.step.spec.Needs) {
			return
		}
		var w *worker
		var ticket string
		if t.step.spec.ReservedCapacity().Fits(pool.maxFree) {
			w, ticket = s.chooseWorker(t, pool.workers)
		}
		if w == nil {
			pool.updateMaxFree()
			if c.class < classDeferred {
				s.reserveWorker(t, pool)
			}
			return
		}
		if s.awaitsDataRack(t, w, pool) {
			return
		}
		t.step.blockedSince = time.Time{}
		s.startTask(w, t, s.nextRun(t.lastRun), ticket)
	}
}

// chooseWorker returns the worker with the lowest placement cost for the task, and the ticket for it; nil if no worker can take
// the task.
func (s *Scheduler) chooseWorker(t *task, workers []*worker) (*worker, string) {
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
		s.requestAdvice(t.step, workers)
	}
	return best, bestTicket
}

// fits reports whether the worker can run the task and has room for it now.
func (s *Scheduler) fits(t *task, w *worker) bool {
	spec := t.step.spec
	if w.pendingStarts >= maxPendingStartsOnWorker && !spec.Gang || w.reserved != nil && w.reserved != t.step {
		return false
	}
	return w.used.Plus(spec.ReservedCapacity()).Fits(w.info.Capacity) && s.canRun(t, w)
}

// canRun reports whether the worker's labels and the step's limit per worker allow the task, whatever room the worker has.
func (s *Scheduler) canRun(t *task, w *worker) bool {
	spec := t.step.spec
	if spec.RequiredLabel != "" && !w.info.HasLabel(spec.RequiredLabel) {
		return false
	}
	return spec.MaxPerWorker == 0 || s.countOnWorker(t.step, w) < spec.MaxPerWorker
}

// countOnWorker counts the runs of a step on a worker.
func (s *Scheduler) countOnWorker(st *stepState, w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step == st {
			n++
		}
	}
	return n
}

// The costs of a placement, as a share of the task's duration.
const (
	failedOnWorkerCost = 2.0
	// emptinessCost fills workers one after the other, so that some stay idle and their instances can be moved.
	emptinessCost = 0.5
	// noLongRunningCost keeps long-running tasks together on few workers, so that the other instances can be moved.
	noLongRunningCost = 0.4
	// sameStepCost spreads the tasks of a long-running step, so that the loss of a worker stops few of them.
	sameStepCost = 1.0
)

// cost estimates the cost of a placement, from the distance to the task's data, earlier failures of the task on the worker, the
// worker's speed, and whether the placement uses a worker that could stay idle.
func (s *Scheduler) cost(t *task, w *worker) float64 {
	cost := 0.0
	if rack := t.step.spec.DataRack; rack != "" && !w.info.HasLabel(rack) {
		cost += s.Limits.RemoteFactor - 1
	}
	if slices.Contains(t.failedOn, w.info.ID) {
		cost += failedOnWorkerCost
	}
	cost += s.slowness(w) - 1
	if t.step.spec.LongRunning {
		if !w.runsLongRunning() {
			cost += noLongRunningCost
		}
		cost += sameStepCost*float64(s.countOnWorker(t.step, w)) + s.maintenanceCost(t, w)
	}
	if w.info.Capacity.CPUMilli > 0 {
		cost += emptinessCost * float64(w.info.Capacity.CPUMilli-w.used.CPUMilli) / float64(w.info.Capacity.CPUMilli)
	}
	return cost
}

// runsLongRunning reports whether the worker runs a long-running task.
func (w *worker) runsLongRunning() bool { return w.longRunningRuns > 0 }

// placeGang starts all tasks of a gang if there is room for all of them at once.
func (s *Scheduler) placeGang(c candidate, workers []*worker) {
	st := c.step
	for _, t := range st.tasks {
		// A gang starts again only after the runs of all members have ended.
		if t.done || len(t.runs) > 0 || s.now.Before(t.notBefore) {
			return
		}
	}
	if !s.underCeiling(st.job.Team, st.spec.Needs.Times(len(st.tasks))) {
		return
	}
	placed := s.planGang(st, workers)
	if placed == nil {
		s.requestAdvice(st, workers)
		return
	}
	n := s.nextRun(st.lastRun)
	checkpoint := ""
	for _, t := range st.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range st.tasks {
		// All members must start from the same checkpoint.
		t.checkpoint = checkpoint
		ticket := ""
		if s.restricted(st) {
			ticket = s.ticket(st, placed[i])
		}
		s.startTask(placed[i], t, n, ticket)
	}
}

// planGang returns a worker for each member, or nil. If the members should share a rack, it tries each rack alone first, that
// of the data before the others.
func (s *Scheduler) planGang(st *stepState, workers []*worker) []*worker {
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
			return cmp.Or(dataRackFirst(st, a)-dataRackFirst(st, b), cmp.Compare(a, b))
		})
		for _, n := range names {
			if placed := s.planMembers(st, racks[n]); placed != nil {
				return placed
			}
		}
	}
	return s.planMembers(st, workers)
}

// dataRackFirst is a sort key that puts the rack with the step's data before the others.
func dataRackFirst(st *stepState, rack string) int {
	if rack == st.spec.DataRack {
		return 0
	}
	return 1
}

func (s *Scheduler) planMembers(st *stepState, workers []*worker) []*worker {
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
