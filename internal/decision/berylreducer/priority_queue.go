package berylreducer

import (
	"container/heap"
	"time"
)

// priorityQueue is a heap that can remove and reorder any element, since each element records its own position.
type priorityQueue[T any] struct {
	items []T
	// before reports whether a comes before b. It must be a strict total order, so that the results don't depend on the
	// order of insertion.
	before func(a, b T) bool
	// index returns where the element stores its position; the position is notIndexed while it is not in the queue.
	index func(T) *int
}

func newPriorityQueue[T any](before func(a, b T) bool, index func(T) *int) *priorityQueue[T] {
	return &priorityQueue[T]{before: before, index: index}
}

// orderByTime returns the order by the time at; sequence orders elements with the same time.
func orderByTime[T any](at func(T) time.Duration, sequence func(T) uint64) func(a, b T) bool {
	return func(a, b T) bool {
		if at(a) != at(b) {
			return at(a) < at(b)
		}
		return sequence(a) < sequence(b)
	}
}

// add adds the element, which must not be in a queue that uses the same index.
func (p *priorityQueue[T]) add(x T) { heap.Push((*heapItems[T])(p), x) }

// remove removes the element if it is in the queue.
func (p *priorityQueue[T]) remove(x T) {
	if i := *p.index(x); i >= 0 {
		heap.Remove((*heapItems[T])(p), i)
	}
}

// fix moves the element to its new place after a change of its order.
func (p *priorityQueue[T]) fix(x T) {
	if i := *p.index(x); i >= 0 {
		heap.Fix((*heapItems[T])(p), i)
	}
}

func (p *priorityQueue[T]) len() int { return len(p.items) }

// top returns the first element without removing it.
func (p *priorityQueue[T]) top() (T, bool) {
	if len(p.items) == 0 {
		var zero T
		return zero, false
	}
	return p.items[0], true
}

// heapItems implements heap.Interface.
type heapItems[T any] priorityQueue[T]

func (h *heapItems[T]) Len() int           { return len(h.items) }
func (h *heapItems[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

func (h *heapItems[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push appends the element; only package heap calls it.
func (h *heapItems[T]) Push(x any) {
	v := x.(T)
	*h.index(v) = len(h.items)
	h.items = append(h.items, v)
}

// Pop removes the last element; only package heap calls it.
func (h *heapItems[T]) Pop() any {
	last := len(h.items) - 1
	v := h.items[last]
	*h.index(v) = -1
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	return v
}
