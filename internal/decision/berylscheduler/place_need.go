package berylscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// A task may wait although its pool has free capacity: it requires a label, its step has a limit per worker, long-running tasks take too
// much of each worker, or a gang needs all of its places at once. The targets of the pools, which count capacity, don't show that.

// placeNeed is a pool's need for instances, with a label if it is not empty.
type placeNeed struct{ pool, label string }

// neededInstances is how many instances a pool needs, and the room that a task needs on each.
type neededInstances struct {
	count int
	room  beryllatch.Resources
	// task is one that waits for the instances.
	task string
}

// alternativeTime is how long a need for an alternative to a worker counts after it was last seen.
const alternativeTime = time.Second

// requestAlternative records that no other worker can take over a task of a worker which is to be emptied.
func (s *Scheduler) requestAlternative(t *task) {
	if s.fleet.alternatives == nil {
		s.fleet.alternatives = make(map[*stepState]time.Time)
	}
	s.fleet.alternatives[t.step] = s.now
}

// movePlaces moves instances into pools in which no worker can take a waiting task, now or when its short tasks have finished.
func (s *Scheduler) movePlaces(pools []*poolDemand) {
	byName := func(a, b placeNeed) int {
		return cmp.Or(strings.Compare(a.pool, b.pool), strings.Compare(a.label, b.label))
	}
	needs := s.placeNeeds()
	for _, need := range slices.SortedFunc(maps.Keys(needs), byName) {
		n := slices.IndexFunc(pools, func(p *poolDemand) bool { return p.name == need.pool && !p.standby })
		if n < 0 {
			continue
		}
		for missing := needs[need].count - s.placesInTransit(need, needs[need].room); missing > 0 && s.fleet.budget.allowsOrder(); missing-- {
			instance := s.takeDonor(pools, pools[n], donorFilter{label: need.label, room: needs[need].room})
			if instance == "" {
				s.logNoInstance(need, needs[need])
				break
			}
			s.orderMove(instance, pools[n])
		}
	}
}

// placeNeeds returns the needs of all steps that have lacked places for reserveAfter, the largest one of each pool and label. A step without
// a single worker that has its label doesn't wait for that long.
func (s *Scheduler) placeNeeds() map[placeNeed]neededInstances {
	needs := make(map[placeNeed]neededInstances)
	workers := s.workersForPlaces()
	add := func(pool string, st *stepState, missing int) {
		room := st.spec.ReservedCapacity()
		perInstance := s.tasksPerInstance(st, pool)
		n := neededInstances{count: (missing + perInstance - 1) / perInstance, room: room, task: st.tasks[0].name}
		key := placeNeed{pool, st.spec.RequiredLabel}
		if n.count > needs[key].count {
			needs[key] = n
		}
	}
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		for st := range j.waitingSteps {
			if !s.underCeiling(j.Team, st.spec.Needs) {
				continue
			}
			missing, labelled := s.missingPlaces(st, workers[j.queue.Pool], 0)
			switch {
			case missing <= 0:
				st.shortSince = time.Time{}
				continue
			case st.shortSince.IsZero():
				st.shortSince = s.now
			}
			if !labelled || s.now.Sub(st.shortSince) >= reserveAfter {
				add(j.queue.Pool, st, missing)
			}
		}
	}
	for st, at := range s.fleet.alternatives {
		pool := st.job.queue.Pool
		if s.now.Sub(at) > alternativeTime {
			delete(s.fleet.alternatives, st)
			continue
		}
		if missing, _ := s.missingPlaces(st, workers[pool], 1); missing > 0 {
			add(pool, st, missing)
		}
	}
	return needs
}

// workersForPlaces returns the workers of each pool whose places count as those that steps can take.
func (s *Scheduler) workersForPlaces() map[string][]*worker {
	out := make(map[string][]*worker)
	for _, w := range s.sortedWorkers {
		if w.registered && w.failedHolds == 0 && s.inService(w) && !w.health.isSuspect(s.now) {
			out[w.info.Pool] = append(out[w.info.Pool], w)
		}
	}
	return out
}

// missingPlaces returns how many more places the step needs than the given workers have without their short tasks, for its waiting
// tasks and some more. A long-running step needs a place for each, a gang for all of its members, another step any place, since short
// tasks follow each other on it. labelled is false if no worker has the label that the step requires.
func (s *Scheduler) missingPlaces(st *stepState, workers []*worker, more int) (missing int, labelled bool) {
	needed := more
	switch {
	case st.tasksWaiting == 0:
	case st.spec.LongRunning:
		needed += st.tasksWaiting
	case st.spec.Gang:
		needed += len(st.tasks)
	default:
		needed++
	}
	for _, w := range workers {
		if st.spec.RequiredLabel != "" && !w.info.HasLabel(st.spec.RequiredLabel) {
			continue
		}
		labelled = true
		if needed -= s.placesOn(st, w); needed <= 0 {
			return 0, true
		}
	}
	return needed, labelled
}

// placesOn returns how many tasks of the step the worker can take without its short tasks.
func (s *Scheduler) placesOn(st *stepState, w *worker) int {
	n := tasksInRoom(st.spec, w.info.Capacity.Minus(w.longRunningUse))
	if st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker-s.countOnWorker(st, w))
	}
	return max(n, 0)
}

// tasksInRoom returns how many tasks of a step fit into the room.
func tasksInRoom(spec *beryllatch.JobStep, room beryllatch.Resources) int {
	c, n := spec.ReservedCapacity(), math.MaxInt32
	for _, r := range [...]struct{ need, free int }{
		{c.CPUMilli, room.CPUMilli}, {c.MemoryMB, room.MemoryMB}, {c.Accelerators, room.Accelerators},
	} {
		if r.need > 0 {
			n = min(n, max(r.free, 0)/r.need)
		}
	}
	return n
}

// tasksPerInstance returns how many tasks of the step an empty instance like those of the pool takes, at least 1.
func (s *Scheduler) tasksPerInstance(st *stepState, pool string) int {
	n := math.MaxInt32
	for _, w := range s.sortedWorkers {
		if w.info.Pool == pool && w.registered {
			n = tasksInRoom(st.spec, w.info.Capacity)
			break
		}
	}
	if st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker)
	}
	return max(n, 1)
}

// placesInTransit counts the suitable instances that are on their way to the pool.
func (s *Scheduler) placesInTransit(need placeNeed, room beryllatch.Resources) int {
	n := 0
	for name, o := range s.fleet.orders {
		if o.wave == 0 && o.pool == need.pool && (donorFilter{label: need.label, room: room}).allows(s.fleet.instances[name]) {
			n++
		}
	}
	return n
}

// logNoInstance logs at most once in waitLogInterval that no instance can be moved for tasks which their pool can't run.
func (s *Scheduler) logNoInstance(need placeNeed, n neededInstances) {
	if s.now.Sub(s.fleet.noInstanceLoggedAt) < waitLogInterval {
		return
	}
	s.fleet.noInstanceLoggedAt = s.now
	s.emit(Decision{Name: "no_instance_suits", Task: n.task, Detail: fmt.Sprintf(
		"pool %s needs %d more instances with label %q and %d millicores, %d MB and %d accelerators free",
		need.pool, n.count, need.label, n.room.CPUMilli, n.room.MemoryMB, n.room.Accelerators,
	)})
}
