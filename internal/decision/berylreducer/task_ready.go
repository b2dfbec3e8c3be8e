package berylreducer

import (
	"cmp"
	"maps"
	"slices"
)

// readyKey identifies the ready tasks of one team on one queue.
type readyKey struct{ team, queue string }

// readyTasks holds the tasks that wait for a worker, in the order of their deadlines.
type readyTasks map[readyKey][]*queuedTask

func byDeadline(a, b *queuedTask) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
}

func (l readyTasks) add(t *queuedTask) {
	k := readyKey{t.Team, t.Queue}
	n, found := slices.BinarySearchFunc(l[k], t, byDeadline)
	if !found {
		l[k] = slices.Insert(l[k], n, t)
	}
}

func (l readyTasks) remove(t *queuedTask) {
	k := readyKey{t.Team, t.Queue}
	n, found := slices.BinarySearchFunc(l[k], t, byDeadline)
	if !found {
		return
	}
	l[k] = slices.Delete(l[k], n, n+1)
	if len(l[k]) == 0 {
		delete(l, k)
	}
}

// keys returns the keys in a stable order.
func (l readyTasks) keys() []readyKey {
	return slices.SortedFunc(maps.Keys(l), func(a, b readyKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.queue, b.queue))
	})
}
