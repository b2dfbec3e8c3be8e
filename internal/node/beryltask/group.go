package beryltask

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	// groupRows bounds the rows of one transaction.
	groupRows = 25
	// groupWait bounds how long a write waits for others.
	groupWait = 20 * time.Millisecond
)

// write is a set of conditions and rows that take effect together.
type write struct {
	rows []beryllatch.RowWrite
	done func(berylreducer.WriteResult)
}

// groupWriter puts independent writes into shared transactions.
type groupWriter struct {
	table beryllatch.Table
	queue chan write
	done  <-chan struct{}
}

func newGroupWriter(ctx context.Context, running *sync.WaitGroup, t beryllatch.Table) *groupWriter {
	g := &groupWriter{table: t, queue: make(chan write, queueLength), done: ctx.Done()}
	running.Go(func() { g.work(ctx) })
	return g
}

// add queues a write, or reports that the queue is full or the writer has ended.
func (g *groupWriter) add(w write) bool {
	select {
	case <-g.done:
		return false
	default:
	}
	select {
	case g.queue <- w:
		return true
	default:
		return false
	}
}

func (g *groupWriter) work(ctx context.Context) {
	var next *write
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case w := <-g.queue:
				next = &w
			}
		}
		next = g.fill(ctx, next)
	}
}

// fill collects a group that starts with the given write, stores it and returns the write that did not fit.
func (g *groupWriter) fill(ctx context.Context, first *write) *write {
	b := newGroup()
	b.add(*first)
	timer := time.NewTimer(groupWait)
	defer timer.Stop()
	for {
		select {
		case w := <-g.queue:
			if !b.add(w) {
				g.store(ctx, b)
				return &w
			}
		case <-timer.C:
			g.store(ctx, b)
			return nil
		case <-ctx.Done():
			g.store(ctx, b)
			return nil
		}
	}
}

// store writes the group; after a conflict every write is tried alone, so that one does not fail the others.
func (g *groupWriter) store(ctx context.Context, b *group) {
	result := g.transact(ctx, b.rows)
	if result != berylreducer.WriteConflict || len(b.writes) == 1 {
		for _, w := range b.writes {
			w.done(result)
		}
		return
	}
	var alone sync.WaitGroup
	for _, w := range b.writes {
		alone.Go(func() { w.done(g.transact(ctx, w.rows)) })
	}
	alone.Wait()
}

func (g *groupWriter) transact(ctx context.Context, rows []beryllatch.RowWrite) berylreducer.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return resultOf(g.table.Transact(ctx, rows...))
}

// resultOf treats every error without a clear meaning as a write that may have taken effect.
func resultOf(err error) berylreducer.WriteResult {
	var conflict *beryllatch.ConditionFailedError
	var unavailable *beryllatch.UnavailableError
	switch {
	case err == nil:
		return berylreducer.WriteDone
	case errors.As(err, &conflict):
		return berylreducer.WriteConflict
	case errors.As(err, &unavailable):
		return berylreducer.WriteFailed
	default:
		return berylreducer.WriteUnknown
	}
}

// group is a transaction of several writes; checks of the same row are shared.
type group struct {
	writes []write
	rows   []beryllatch.RowWrite
	byKey  map[beryllatch.RowKey]beryllatch.RowWrite
}

func newGroup() *group { return &group{byKey: map[beryllatch.RowKey]beryllatch.RowWrite{}} }

// add takes the write into the group unless it has no room or touches a row of another one.
func (b *group) add(w write) bool {
	fresh := make([]beryllatch.RowWrite, 0, len(w.rows))
	for _, row := range w.rows {
		old, found := b.byKey[row.Row.Key]
		shared := old.CheckOnly && row.CheckOnly && old.Expect == row.Expect
		if found && !shared {
			return false
		}
		if !found {
			fresh = append(fresh, row)
		}
	}
	if len(b.writes) > 0 && len(b.rows)+len(fresh) > groupRows {
		return false
	}
	for _, row := range fresh {
		b.byKey[row.Row.Key] = row
	}
	b.rows = append(b.rows, fresh...)
	b.writes = append(b.writes, w)
	return true
}
