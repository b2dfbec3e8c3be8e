package beryljobs

import (
	"context"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"gotest.tools/v3/assert"
)

// slowTables answers each call after a delay; tables of jobs have several pages.
type slowTables struct {
	beryllatch.RowStore
	call  time.Duration
	pages int
}

func (s *slowTables) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	n := 1
	if table == berylscheduler.JobsTable || table == berylscheduler.ProgressTable {
		n = s.pages
	}
	pause(ctx, time.Duration(n)*s.call)
	return s.RowStore.Rows(ctx, table, part)
}

func (s *slowTables) Row(ctx context.Context, table, part, key string) (beryllatch.DataRow, error) {
	pause(ctx, s.call)
	return s.RowStore.Row(ctx, table, part, key)
}

func (s *slowTables) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	pause(ctx, s.call)
	return s.RowStore.Commit(ctx, tx)
}

// A node that takes over must not be replaced while it reads its rows, however long that takes, and also if the connections between the nodes
// are refused.
func TestOneTakeoverAtASlowStore(t *testing.T) {
	for name, c := range map[string]struct {
		call    time.Duration
		pages   int
		refused bool
	}{
		"usual store":              {8 * time.Millisecond, 1, false},
		"slow store":               {300 * time.Millisecond, 1, false},
		"slow store, large tables": {300 * time.Millisecond, 6, false},
		"larger tables":            {150 * time.Millisecond, 12, false},
		"refused":                  {8 * time.Millisecond, 1, true},
		"refused, slow store":      {150 * time.Millisecond, 1, true},
		"refused, large tables":    {8 * time.Millisecond, 12, true},
	} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 0, func(t *testing.T, cl *cluster) {
				start := cl.startNode
				var stores []*slowTables
				cl.startNode = func(n *Node) {
					s := &slowTables{RowStore: n.Store, call: 8 * time.Millisecond, pages: 1}
					stores = append(stores, s)
					n.Store = s
					start(n)
				}
				for range 8 {
					cl.join(0.4)
				}
				time.Sleep(8 * time.Second)
				first := cl.schedulingNodes()[0]
				for _, s := range stores {
					s.call, s.pages = c.call, c.pages
				}
				for i := range cl.nodes {
					if i == first || c.refused {
						cl.isolate(i, c.refused)
					}
				}
				cl.stores[first].setCut(true)
				time.Sleep(40 * time.Second)
				assert.Equal(t, cl.epoch(), int64(2))
			})
		})
	}
}
