package berylgroup

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	// maxGroupRows bounds the rows of one transaction.
	maxGroupRows = 25
	// queueLength bounds the writes that wait.
	queueLength = 4096
	// callTimeout bounds one transaction; the reducer decides about a repeat.
	callTimeout = 2 * time.Second
)

// Write is a set of conditions and rows that take effect together.
type Write struct {
	Rows []beryllatch.RowWrite
	// Done takes the result; it is called once, unless the writer ends first.
	Done func(berylreducer.WriteResult)
}

// Writer puts independent writes into shared transactions; New returns a ready one.
type Writer struct {
	table beryllatch.Table
	maxWait  time.Duration
	queue chan Write
	done  <-chan struct{}
}

// New starts a writer that ends with ctx; a write waits at most the given time for others, and running counts its work.
func New(ctx context.Context, running *sync.WaitGroup, t beryllatch.Table, wait time.Duration) *Writer {
	g := &Writer{table: t, maxWait: wait, queue: make(chan Write, queueLength), done: ctx.Done()}
	running.Go(func() { g.run(ctx) })
	return g
}

// Add queues a write, or reports that the queue is full or the writer has ended.
func (g *Writer) Add(w Write) bool {
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

func (g *Writer) run(ctx context.Context) {
	var next *Write
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case w := <-g.queue:
				next = &w
			}
		}
		next = g.collect(ctx, next)
	}
}

// collect collects a group that starts with the given write, stores it and returns the write that did not fit.
func (g *Writer) collect(ctx context.Context, first *Write) *Write {
	b := newGroup()
	b.add(*first)
	timer := time.NewTimer(g.maxWait)
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
func (g *Writer) store(ctx context.Context, b *group) {
	result := g.transact(ctx, b.rows)
	if result != berylreducer.WriteConflict || len(b.writes) == 1 {
		for _, w := range b.writes {
			w.Done(result)
		}
		return
	}
	var alone sync.WaitGroup
	for _, w := range b.writes {
		alone.Go(func() { w.Done(g.transact(ctx, w.Rows)) })
	}
	alone.Wait()
}

func (g *Writer) transact(ctx context.Context, rows []beryllatch.RowWrite) berylreducer.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return ResultOf(g.table.Transact(ctx, rows...))
}

// ResultOf treats every error without a clear meaning as a write that may have taken effect.
func ResultOf(err error) berylreducer.WriteResult {
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
	writes []Write
	rows   []beryllatch.RowWrite
	byKey  map[beryllatch.RowKey]beryllatch.RowWrite
}

func newGroup() *group { return &group{byKey: map[beryllatch.RowKey]beryllatch.RowWrite{}} }

// add takes the write into the group unless it has no room or touches a row of another one.
func (b *group) add(w Write) bool {
	fresh := make([]beryllatch.RowWrite, 0, len(w.Rows))
	for _, row := range w.Rows {
		old, found := b.byKey[row.Row.Key]
		shared := old.CheckOnly && row.CheckOnly && old.Expect == row.Expect
		if found && !shared {
			return false
		}
		if !found {
			fresh = append(fresh, row)
		}
	}
	if len(b.writes) > 0 && len(b.rows)+len(fresh) > maxGroupRows {
		return false
	}
	for _, row := range fresh {
		b.byKey[row.Row.Key] = row
	}
	b.rows = append(b.rows, fresh...)
	b.writes = append(b.writes, w)
	return true
}
