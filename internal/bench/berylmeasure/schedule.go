package berylmeasure

import (
	"container/heap"
	"time"
)

// schedule is the virtual clock: it calls functions in the order of the times at which they are due. Functions that are
// due at the same time are called in the order in which they were added.
type schedule struct {
	now      time.Duration
	pending  pendingHeap
	sequence uint64
}

type pendingCall struct {
	at       time.Duration
	sequence uint64
	f        func()
}

// after calls f once d has passed.
func (s *schedule) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.pending, pendingCall{at: s.now + max(0, d), sequence: s.sequence, f: f})
}

// at calls f at the time t.
func (s *schedule) at(t time.Duration, f func()) { s.after(t-s.now, f) }

// every calls f at the end of each interval from now on.
func (s *schedule) every(interval time.Duration, f func()) {
	s.after(interval, func() {
		f()
		s.every(interval, f)
	})
}

// runUntil calls the functions that are due up to the time t, and stops early as soon as done returns true.
func (s *schedule) runUntil(t time.Duration, done func() bool) {
	for len(s.pending) > 0 && s.pending[0].at <= t && !done() {
		c := heap.Pop(&s.pending).(pendingCall)
		s.now = c.at
		c.f()
	}
}

type pendingHeap []pendingCall

func (h pendingHeap) Len() int { return len(h) }

func (h pendingHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h pendingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *pendingHeap) Push(x any) { *h = append(*h, x.(pendingCall)) }

func (h *pendingHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = pendingCall{}
	*h = old[:len(old)-1]
	return c
}
