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
	// maxGroupRows bounds the rows of a shared transaction; a single write may have more.
	maxGroupRows = 25
	// queueLength is the number of writes that can wait; Add rejects further ones.
	queueLength = 4096
	// callTimeout bounds one transaction; the reducer decides whether to repeat it.
	callTimeout = 2 * time.Second
)

// Write is a set of conditional row writes that take effect together.
type Write struct {
	Rows []beryllatch.RowWrite
	// Done receives the result. It is called once, unless the writer stops before it stores the write.
	Done func(berylreducer.WriteResult)
}

// Writer combines independent writes into shared transactions; New creates one.
type Writer struct {
	table   beryllatch.Table
	maxWait time.Duration
	queue   chan Write
	done    <-chan struct{}
}

// New starts a writer that stops when ctx is done. It stores a group once the first write of the group has waited for
// maxWait, or when the next write does not fit. The goroutine of the writer is counted in goroutines.
func New(ctx context.Context, goroutines *sync.WaitGroup, t beryllatch.Table, maxWait time.Duration) *Writer {
	g := &Writer{table: t, maxWait: maxWait, queue: make(chan Write, queueLength), done: ctx.Done()}
	goroutines.Go(func() { g.run(ctx) })
	return g
}

// Add queues a write. It returns false if the queue is full or the writer has stopped.
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
		next = g.storeGroup(ctx, next)
	}
}

// storeGroup collects a group that starts with the given write and stores it. It returns the write that did not fit into
// the group, or nil if there was none.
func (g *Writer) storeGroup(ctx context.Context, first *Write) *Write {
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

// store writes the group in one transaction. After a conflict it stores each write in a transaction of its own, so that
// one conflicting write does not fail the others.
func (g *Writer) store(ctx context.Context, b *group) {
	result := g.transact(ctx, b.rows)
	if result != berylreducer.WriteConflict || len(b.writes) == 1 {
		for _, w := range b.writes {
			w.Done(result)
		}
		return
	}
	var wg sync.WaitGroup
	for _, w := range b.writes {
		wg.Go(func() { w.Done(g.transact(ctx, w.Rows)) })
	}
	wg.Wait()
}

func (g *Writer) transact(ctx context.Context, rows []beryllatch.RowWrite) berylreducer.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return ResultOf(g.table.Transact(ctx, rows...))
}

// ResultOf returns the result of a write with the given error. An error that does not say whether the write took effect
// gives WriteUnknown.
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

// group is a set of writes that share a transaction. Equal checks of the same row are made only once.
type group struct {
	writes []Write
	rows   []beryllatch.RowWrite
	byKey  map[beryllatch.RowKey]beryllatch.RowWrite
}

func newGroup() *group { return &group{byKey: map[beryllatch.RowKey]beryllatch.RowWrite{}} }

// add adds the write to the group. It returns false if the group has no room, or if the write concerns a row of another
// write and the two are not equal checks.
func (b *group) add(w Write) bool {
	newRows := make([]beryllatch.RowWrite, 0, len(w.Rows))
	for _, row := range w.Rows {
		existing, found := b.byKey[row.Row.Key]
		shared := existing.CheckOnly && row.CheckOnly && existing.Expect == row.Expect
		if found && !shared {
			return false
		}
		if !found {
			newRows = append(newRows, row)
		}
	}
	if len(b.writes) > 0 && len(b.rows)+len(newRows) > maxGroupRows {
		return false
	}
	for _, row := range newRows {
		b.byKey[row.Row.Key] = row
	}
	b.rows = append(b.rows, newRows...)
	b.writes = append(b.writes, w)
	return true
}
