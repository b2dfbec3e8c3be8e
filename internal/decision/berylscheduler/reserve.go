package berylscheduler

import (
	"fmt"
	"time"
)

const (
	// reserveAfter is how long a step must have found no room before a worker is kept free for it.
	reserveAfter = 500 * time.Millisecond
	// largeTaskShare is the share of a worker's capacity from which a short task counts as large. Smaller tasks soon find room
	// in any pool whose tasks finish.
	largeTaskShare = 0.25
	// workersPerReservation limits the workers that are kept free at the same time: one for this many workers of the pool,
	// rounded up.
	workersPerReservation = 8
)

// reserveWorker keeps a worker free for a step that has found no room for some time. In a full pool, the room that a small task
// leaves would always go to another small task, so a large or long-running task would never start.
func (s *Scheduler) reserveWorker(t *task, pool *poolWorkers) {
	st := t.step
	if st.blockedSince.IsZero() {
		st.blockedSince = s.now
	}
	s.logWait(t, pool)
	if s.now.Sub(st.blockedSince) < reserveAfter || pool.reservations*workersPerReservation >= len(pool.workers)+workersPerReservation-1 {
		return
	}
	w := s.workerToReserve(t, pool)
	if w == nil {
		return
	}
	pool.reservations++
	w.reserved = st
	st.reservedWorker = w
}

// waitLogInterval is the time between log records about a step that finds no room.
const waitLogInterval = 2 * time.Second

// logWait logs why a task waits, once per waitLogInterval.
func (s *Scheduler) logWait(t *task, pool *poolWorkers) {
	st := t.step
	if s.now.Sub(laterTime(st.blockedSince, st.waitLoggedAt)) < waitLogInterval {
		return
	}
	st.waitLoggedAt = s.now
	suitable, roomy := 0, 0
	for _, w := range pool.workers {
		if s.canRun(t, w) {
			suitable++
			if s.canHaveRoom(t, w) {
				roomy++
			}
		}
	}
	s.emit(Decision{
		Name: "task_waits", Job: st.job.ID, Task: t.name, Age: s.now.Sub(st.blockedSince),
		Detail: fmt.Sprintf("%d workers are usable, %d suit, %d can have room, %d are kept free", len(pool.workers), suitable, roomy, pool.reservations),
	})
}

// workerToReserve returns the worker on which the task should find room soonest: the one that was kept free for the step
// before, else the one with the least processor capacity in use.
func (s *Scheduler) workerToReserve(t *task, pool *poolWorkers) *worker {
	var best *worker
	restricted := s.restricted(t.step)
	for _, w := range pool.workers {
		if w.reserved != nil || !s.canRun(t, w) || !s.canHaveRoom(t, w) || restricted && s.ticket(t.step, w) == "" {
			continue
		}
		if w == t.step.reservedWorker {
			return w
		}
		if best == nil || w.used.CPUMilli < best.used.CPUMilli {
			best = w
		}
	}
	return best
}

// canHaveRoom reports whether the worker has room for the task once its short tasks have finished, and whether the task is
// long-running or large enough to keep a worker free for it.
func (s *Scheduler) canHaveRoom(t *task, w *worker) bool {
	spec := t.step.spec
	if !w.longRunningUse.Plus(spec.ReservedCapacity()).Fits(w.info.Capacity) {
		return false
	}
	c := w.info.Capacity
	return spec.LongRunning || float64(spec.Needs.CPUMilli) >= largeTaskShare*float64(c.CPUMilli) ||
		float64(spec.Needs.MemoryMB) >= largeTaskShare*float64(c.MemoryMB) || spec.Needs.Accelerators > 0
}
