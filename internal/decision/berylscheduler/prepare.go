package berylscheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// A worker is prepared before its first run: its row is stored, so that a node that takes over asks it for its runs, and its
// clock is read. Workers without work are left alone, so that rows, connections and the duration of a takeover follow the work
// and not the size of the fleet.

const (
	// preparedFactor is how many times the room that waiting tasks need should be free on prepared workers: the tasks of a burst
	// arrive faster than workers can be prepared.
	preparedFactor = 2.0
	// maxPreparing limits the workers of a pool that are being prepared at the same time.
	maxPreparing = 96
	// maxRestrictedDemands limits the steps of restricted queues that are looked at in a pass. Each has workers of its own that
	// the advisor has ruled out, so that their demands cannot be added up.
	maxRestrictedDemands = 8
)

// prepared reports whether the worker's row is stored or about to be.
func (w *worker) prepared() bool { return w.row.value != nil }

// canPrepare reports whether the worker may be prepared for runs.
func (s *Scheduler) canPrepare(w *worker) bool {
	return w.registered && w.synced && !w.prepared() && s.inService(w) && !w.health.isSuspect(s.now)
}

// maxPreparationTime is how long tasks may count on a worker that is being prepared.
const maxPreparationTime = 2 * time.Second

// isPreparing reports whether the worker will be usable in a moment, once its row is stored and its clock is read.
func (s *Scheduler) isPreparing(w *worker) bool {
	if !w.preparingSince.IsZero() && s.now.Sub(w.preparingSince) > maxPreparationTime {
		return false
	}
	return w.prepared() && w.registered && w.synced && w.failedHolds == 0 && s.inService(w) && (!w.row.stored || !s.hasRecentClock(w))
}

func (s *Scheduler) prepareWorker(w *worker) {
	s.journal.setWorkerRow(w.info.ID, w.encode())
	s.sendHoldIfDue(w)
}

// roomDemand is the room that waiting tasks need on the workers of a pool that have a label.
type roomDemand struct {
	// label is empty if any worker of the pool will do.
	label string
	// workers is the needed room, as a number of empty workers.
	workers float64
	// distinct is the least number of workers that the tasks of a step need.
	distinct int
	// suits reports whether a prepared worker counts, for steps that only some workers may run; nil means that each does.
	suits func(*worker) bool
}

// prepareWorkers prepares workers in the pools whose prepared workers have too little room for the waiting tasks. The load that
// it answers is the start of a burst, when a queue at a twentieth of its mean rises to five times its mean within a second.
func (s *Scheduler) prepareWorkers(pools map[string]*poolWorkers) {
	for _, w := range s.sortedWorkers {
		if p := pools[w.info.Pool]; p != nil && s.isPreparing(w) {
			if w.preparingSince.IsZero() {
				w.preparingSince = s.now
			}
			p.preparing = append(p.preparing, w)
		}
	}
	for _, j := range s.active {
		p := pools[j.queue.Pool]
		if p == nil || len(p.unprepared) == 0 {
			continue
		}
		for st := range j.waitingSteps {
			p.addDemand(s, st)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		s.prepareIdle(p)
		for _, d := range p.demands {
			s.prepareForDemand(p, d)
		}
	}
}

// addDemand adds what the waiting tasks of a step need.
func (p *poolWorkers) addDemand(s *Scheduler, st *stepState) {
	spec := st.spec
	capacity := p.unprepared[0].info.Capacity
	d := roomDemand{workers: float64(st.tasksWaiting) * share(spec.ReservedCapacity(), capacity)}
	switch {
	case spec.LongRunning, spec.Gang:
		// Long-running tasks spread over many workers, and a gang may need a rack of its own.
		d.distinct = spec.Count
	case spec.MaxPerWorker > 0:
		d.distinct = (spec.Count + spec.MaxPerWorker - 1) / spec.MaxPerWorker
	}
	if s.restricted(st) {
		if p.restricted++; p.restricted > maxRestrictedDemands {
			return
		}
		d.distinct = max(d.distinct, maxAdviceWorkers)
		d.suits = s.notAdvisedAgainst(st)
	}
	if !st.blockedSince.IsZero() {
		// The step has found no room, for a reason that free capacity may not show.
		d.workers++
	}
	p.addRoomDemand(d)
	for _, label := range []string{spec.DataRack, spec.RequiredLabel} {
		if label != "" {
			d.label = label
			p.addRoomDemand(d)
		}
	}
}

func (p *poolWorkers) addRoomDemand(d roomDemand) {
	for _, o := range p.demands {
		if o.label == d.label && o.suits == nil && d.suits == nil {
			o.workers += d.workers
			o.distinct = max(o.distinct, d.distinct)
			return
		}
	}
	p.demands = append(p.demands, &d)
}

// prepareIdle keeps some prepared workers of the pool without runs.
func (s *Scheduler) prepareIdle(p *poolWorkers) {
	idle := len(p.preparing)
	for _, w := range p.workers {
		if len(w.runs) == 0 {
			idle++
		}
	}
	s.prepareSome(p, "", poolReserve-idle)
}

func (s *Scheduler) prepareForDemand(p *poolWorkers, d *roomDemand) {
	free, count := 0.0, 0
	for _, list := range [][]*worker{p.workers, p.preparing} {
		for _, w := range list {
			if d.label != "" && !w.info.HasLabel(d.label) || d.suits != nil && !d.suits(w) {
				continue
			}
			free += freeShare(w)
			count++
		}
	}
	missing := int(math.Ceil(preparedFactor*d.workers - free))
	s.prepareSome(p, d.label, max(missing, d.distinct-count))
}

// prepareSome prepares up to n workers of the pool that have the label.
func (s *Scheduler) prepareSome(p *poolWorkers, label string, n int) {
	kept := p.unprepared[:0]
	for _, w := range p.unprepared {
		if n <= 0 || len(p.preparing) >= maxPreparing || label != "" && !w.info.HasLabel(label) {
			kept = append(kept, w)
			continue
		}
		s.prepareWorker(w)
		p.preparing = append(p.preparing, w)
		n--
	}
	p.unprepared = kept
}

// awaitsDataRack reports whether the task should not start on w, since a worker near its data will be usable in a moment.
func (s *Scheduler) awaitsDataRack(t *task, w *worker, p *poolWorkers) bool {
	rack := t.step.spec.DataRack
	if rack == "" || w.info.HasLabel(rack) || s.journal.failing {
		return false
	}
	return slices.ContainsFunc(p.preparing, func(o *worker) bool { return o.info.HasLabel(rack) && s.canRun(t, o) })
}

// prepareAlternative prepares a worker of the same pool that can take over a task of the given worker.
func (s *Scheduler) prepareAlternative(t *task, except *worker) {
	for _, w := range s.sortedWorkers {
		if w == except || w.info.Pool != except.info.Pool || !s.canRun(t, w) || !s.canHaveRoom(t, w) {
			continue
		}
		if s.isPreparing(w) {
			return
		}
		if s.canPrepare(w) {
			s.prepareWorker(w)
			return
		}
	}
}

// share returns which part of the capacity the needs take, by the scarcest resource.
func share(needs, capacity beryllatch.Resources) float64 {
	part := func(need, all int) float64 {
		if need <= 0 || all <= 0 {
			return 0
		}
		return float64(need) / float64(all)
	}
	return max(part(needs.CPUMilli, capacity.CPUMilli), part(needs.MemoryMB, capacity.MemoryMB), part(needs.Accelerators, capacity.Accelerators))
}

// freeShare returns which part of a worker's capacity is free, by the resource that is used most.
func freeShare(w *worker) float64 { return max(1-share(w.used, w.info.Capacity), 0) }
