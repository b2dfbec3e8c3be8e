package berylgroup

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// fakeTable rejects every transaction that writes the row "taken", and records the size of each transaction.
type fakeTable struct {
	beryllatch.Table
	mu    sync.Mutex
	sizes []int
}

func (f *fakeTable) Transact(_ context.Context, writes ...beryllatch.RowWrite) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes = append(f.sizes, len(writes))
	for _, w := range writes {
		if w.Row.Key.Sort == "taken" {
			return &beryllatch.ConditionFailedError{Key: w.Row.Key}
		}
	}
	return nil
}

// row returns a write or, with check, a check of the named row.
func row(name string, expect uint64, check bool) beryllatch.RowWrite {
	return beryllatch.RowWrite{
		Row: beryllatch.Row{Key: beryllatch.RowKey{Sort: name}}, Expect: expect, CheckOnly: check,
	}
}

// writeAll queues a write for each name, and returns the results in this order and the sizes of the transactions.
func writeAll(t *testing.T, names ...string) ([]berylreducer.WriteResult, []int) {
	t.Helper()
	table := &fakeTable{}
	results := make([]berylreducer.WriteResult, len(names))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var goroutines sync.WaitGroup
		g := New(ctx, &goroutines, table, time.Millisecond)
		for n, name := range names {
			assert.Assert(t, g.Add(Write{
				Rows: []beryllatch.RowWrite{row(name, 0, false)},
				Done: func(r berylreducer.WriteResult) { results[n] = r },
			}))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		cancel()
		goroutines.Wait()
	})
	return results, table.sizes
}

// Guards against a conflicting write failing the other writes of its transaction.
func TestConflict(t *testing.T) {
	results, sizes := writeAll(t, "a", "taken", "b")
	assert.DeepEqual(t, results, []berylreducer.WriteResult{
		berylreducer.WriteDone, berylreducer.WriteConflict, berylreducer.WriteDone,
	})
	assert.DeepEqual(t, sizes, []int{3, 1, 1, 1})
}

// Guards against two writes of one row in a transaction: the table would reject the whole transaction.
func TestSameRow(t *testing.T) {
	_, sizes := writeAll(t, "a", "a")
	assert.DeepEqual(t, sizes, []int{1, 1})
}

// Guards against repeated checks of one row filling a transaction, and against different checks of one row within it.
func TestSharedCheck(t *testing.T) {
	g := newGroup()
	write := func(name string, expect uint64) Write {
		return Write{Rows: []beryllatch.RowWrite{row(name, 0, false), row("shard", expect, true)}}
	}
	assert.Assert(t, g.add(write("a", 3)))
	assert.Assert(t, g.add(write("b", 3)))
	assert.Assert(t, !g.add(write("c", 2)))
	assert.Assert(t, !g.add(write("a", 3)))
	assert.Equal(t, len(g.rows), 3)
}
