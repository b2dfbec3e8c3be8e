package berylscheduler

import (
	"fmt"
	"time"
)

const (
	// reserveAfter is how long a step may find no room before a worker is kept free for it.
	reserveAfter = 500 * time.Millisecond
	// reserveLeast is the part of a worker from which a short task is large: smaller ones find room in any pool that turns over.
	reserveLeast = 0.25
	// reservePart is the part of a pool's workers that may be kept free at the same time.
	reservePart = 8
)

// keepRoom keeps a worker free for a step that has found no room for some time. This is for full pools: the room that small
// tasks leave would go to other small tasks for ever, and a long-running or large one would never start.
func (s *Scheduler) keepRoom(t *task, room *poolRoom) {
	st := t.step
	if st.blocked.IsZero() {
		st.blocked = s.now
	}
	s.reportWait(t, room)
	if s.now.Sub(st.blocked) < reserveAfter || room.reserved*reservePart >= len(room.workers)+reservePart-1 {
		return
	}
	w := s.roomLater(t, room)
	if w == nil {
		s.needLabel(t)
		return
	}
	room.reserved++
	w.reserved = st
	st.keeps = w
}

// waitReport spaces the lines about a step that finds no room.
const waitReport = 2 * time.Second

// reportWait logs why a task waits, every waitReport.
func (s *Scheduler) reportWait(t *task, room *poolRoom) {
	st := t.step
	if s.now.Sub(later(st.blocked, st.reported)) < waitReport {
		return
	}
	st.reported = s.now
	suitable, roomy := 0, 0
	for _, w := range room.workers {
		if s.suits(t, w) {
			suitable++
			if s.roomy(t, w) {
				roomy++
			}
		}
	}
	s.emit(Decision{
		Name: "task_waits", Job: st.job.ID, Task: t.name, Age: s.now.Sub(st.blocked),
		Detail: fmt.Sprintf("%d workers are usable, %d suit, %d can have room, %d are kept free", len(room.workers), suitable, roomy, room.reserved),
	})
}

// roomLater returns the worker on which a task has room soonest: the one that was kept for its step, or the emptiest.
func (s *Scheduler) roomLater(t *task, room *poolRoom) *worker {
	var best *worker
	restricted := s.restricted(t.step)
	for _, w := range room.workers {
		if w.reserved != nil || !s.suits(t, w) || !s.roomy(t, w) || restricted && s.ticket(t.step, w) == "" {
			continue
		}
		if w == t.step.keeps {
			return w
		}
		if best == nil || w.used.CPUMilli < best.used.CPUMilli {
			best = w
		}
	}
	return best
}

// roomy reports whether a worker has room for a task once its short tasks have ended, and whether the task is worth waiting for.
func (s *Scheduler) roomy(t *task, w *worker) bool {
	spec := t.step.spec
	if !w.lasting.Plus(spec.ReservedCapacity()).Fits(w.info.Capacity) {
		return false
	}
	c := w.info.Capacity
	return spec.LongRunning || float64(spec.Needs.CPUMilli) >= reserveLeast*float64(c.CPUMilli) ||
		float64(spec.Needs.MemoryMB) >= reserveLeast*float64(c.MemoryMB) || spec.Needs.Accelerators > 0
}
