package beryldaemon

import (
	"context"
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// groupSize bounds the writes of one transaction; the platform takes at most 100.
	groupSize = 25
	// groupWait is how long a write waits for others; it is well below the latency of the table.
	groupWait = 2 * time.Millisecond
)

// grouper puts independent writes into shared transactions.
type grouper struct {
	table beryllatch.Table
	queue chan groupedWrite
}

type groupedWrite struct {
	w    beryllatch.RowWrite
	done chan error
}

func newGrouper(t beryllatch.Table) *grouper {
	return &grouper{table: t, queue: make(chan groupedWrite, groupSize)}
}

// write returns the outcome of the one write.
func (g *grouper) write(ctx context.Context, w beryllatch.RowWrite) error {
	x := groupedWrite{w: w, done: make(chan error, 1)}
	select {
	case g.queue <- x:
	case <-ctx.Done():
		return &beryllatch.UnavailableError{Err: ctx.Err()}
	}
	select {
	case err := <-x.done:
		return err
	case <-ctx.Done():
		return &beryllatch.UnknownOutcomeError{Err: ctx.Err()}
	}
}

// run forms the groups until ctx is cancelled; f starts the work of one group.
func (g *grouper) run(ctx context.Context, start func(f func(ctx context.Context))) {
	for {
		select {
		case x := <-g.queue:
			group := g.collect(x)
			start(func(ctx context.Context) { g.commit(ctx, group) })
		case <-ctx.Done():
			return
		}
	}
}

func (g *grouper) collect(first groupedWrite) []groupedWrite {
	group := []groupedWrite{first}
	keys := map[beryllatch.RowKey]bool{first.w.Row.Key: true}
	timer := time.NewTimer(groupWait)
	defer timer.Stop()
	for len(group) < groupSize {
		select {
		case x := <-g.queue:
			if keys[x.w.Row.Key] {
				// A transaction must not write a row twice; the loser of the race learns of the conflict.
				x.done <- &beryllatch.ConditionFailedError{Key: x.w.Row.Key}
				continue
			}
			keys[x.w.Row.Key] = true
			group = append(group, x)
		case <-timer.C:
			return group
		}
	}
	return group
}

// commit writes the group; after a conflict each write is judged alone, so that one does not fail the others.
func (g *grouper) commit(ctx context.Context, group []groupedWrite) {
	writes := make([]beryllatch.RowWrite, 0, len(group))
	for _, x := range group {
		writes = append(writes, x.w)
	}
	err := g.table.Transact(ctx, writes...)
	var conflict *beryllatch.ConditionFailedError
	if len(group) > 1 && errors.As(err, &conflict) {
		for _, x := range group {
			x.done <- g.table.Transact(ctx, x.w)
		}
		return
	}
	for _, x := range group {
		x.done <- err
	}
}
