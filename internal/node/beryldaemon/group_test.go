package beryldaemon

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// fakeTable refuses every transaction that writes the row "taken".
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

// Guards against one conflicting claim failing the claims that share its transaction.
func TestGroupConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &fakeTable{}
		g := newGrouper(table)
		go g.run(ctx, func(f func(context.Context)) { go f(ctx) })
		errs := make(map[string]error)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, name := range []string{"a", "taken", "b"} {
			wg.Go(func() {
				err := g.write(ctx, beryllatch.RowWrite{Row: beryllatch.Row{Key: beryllatch.RowKey{Sort: name}}})
				mu.Lock()
				defer mu.Unlock()
				errs[name] = err
			})
		}
		wg.Wait()
		cancel()
		assert.NilError(t, errs["a"])
		assert.NilError(t, errs["b"])
		var conflict *beryllatch.ConditionFailedError
		assert.Assert(t, errors.As(errs["taken"], &conflict))
		assert.DeepEqual(t, table.sizes, []int{3, 1, 1, 1})
	})
}

// Guards against two writes of one row in a transaction, which the table rejects as a whole.
func TestGroupSameRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &fakeTable{}
		g := newGrouper(table)
		go g.run(ctx, func(f func(context.Context)) { go f(ctx) })
		var mu sync.Mutex
		conflicts := 0
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				if g.write(ctx, beryllatch.RowWrite{Row: beryllatch.Row{Key: beryllatch.RowKey{Sort: "a"}}}) != nil {
					mu.Lock()
					conflicts++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		cancel()
		assert.Equal(t, conflicts, 1)
		assert.DeepEqual(t, table.sizes, []int{1})
	})
}
