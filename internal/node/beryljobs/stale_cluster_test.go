package beryljobs

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"gotest.tools/v3/assert"
)

// From the moment at which no node can read the configuration any more, a change that is confirmed must not be ignored for longer
// than the configuration delay: neither because other reads are answered, nor because nodes confirm it to each other.
func TestUnreadableConfigurationIsNotTrusted(t *testing.T) {
	for name, fail := range map[string]func(*nodeStore){
		"the configuration alone":   (*nodeStore).setNoOperations,
		"the store out of reach":    func(s *nodeStore) { s.setCut(true) },
		"half of the nodes cut off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 8, func(t *testing.T, c *cluster) {
				first := c.schedulingNodes()[0]
				for i, s := range c.stores {
					switch {
					case fail != nil:
						fail(s)
					case i != first && i%2 == 0:
						s.setCut(true)
					}
				}
				time.Sleep(defaultConfigurationDelay)
				for i, n := range c.nodes {
					assert.Equal(t, n.Deployment() == nil, fail != nil, "node %d", i)
				}
			})
		})
	}
}

// evacuationView decodes each row but the configuration as an evacuated data centre.
type evacuationView struct{ versionView }

func (evacuationView) ApplyOperation(o beryllatch.Operations, r beryllatch.DataRow) (beryllatch.Operations, error) {
	o.Evacuated = maps.Clone(o.Evacuated)
	if o.Evacuated == nil {
		o.Evacuated = make(map[string]bool)
	}
	o.Evacuated[r.Key] = true
	return o, nil
}

// A read of the whole table that was answered from an older state must not end an evacuation, whichever node the configuration came
// from.
func TestStaleReadDoesNotEndAnEvacuation(t *testing.T) {
	n := &Node{View: evacuationView{}, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
	config := beryllatch.DataRow{Key: "config", Value: []byte("5"), Version: 10}
	n.applyOperations([]beryllatch.DataRow{config}, true, 10)
	n.applyOperations([]beryllatch.DataRow{{Key: "dc1", Version: 20}}, false, 20)
	n.applyOperations([]beryllatch.DataRow{config}, true, 15)
	assert.Assert(t, n.operations.Load().Evacuated["dc1"])
	n.applyConfiguration(beryllatch.DataRow{Key: "config", Value: []byte("6")}, sourceSchedulingNode)
	n.applyOperations([]beryllatch.DataRow{config}, true, 15)
	assert.Assert(t, n.operations.Load().Evacuated["dc1"])
	n.applyOperations([]beryllatch.DataRow{config}, true, 30)
	assert.Assert(t, !n.operations.Load().Evacuated["dc1"])
}

// staleStore answers reads of the operations table from an old state, whose changes are no longer known.
type staleStore struct {
	*memoryStore
	reads int
}

func (s *staleStore) Rows(_ context.Context, _, _ string) ([]beryllatch.DataRow, int64, error) {
	s.reads++
	time.Sleep(5 * time.Millisecond)
	return []beryllatch.DataRow{{Key: "config", Value: []byte("6"), Version: 20}}, 25, nil
}

func (s *staleStore) Changes(_ context.Context, table string, _ int64, _ time.Duration) ([]beryllatch.DataRow, int64, error) {
	s.reads++
	time.Sleep(5 * time.Millisecond)
	return nil, 0, &beryllatch.HistoryLostError{Table: table}
}

// Reads from an old state prove nothing, and are not repeated without a pause.
func TestStaleReadsAreNoProofAndPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &staleStore{memoryStore: &memoryStore{}}
		n := &Node{View: evacuationView{}, Store: s, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
		n.applyOperations([]beryllatch.DataRow{{Key: "config", Value: []byte("6"), Version: 20}}, true, 20)
		n.applyOperations(nil, false, 30)
		ctx, cancel := context.WithCancel(t.Context())
		go n.watchOperations(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.Assert(t, n.Deployment() == nil)
		assert.Assert(t, s.reads <= 5*8, "%d reads in 5 s", s.reads)
	})
}

// A node that the store refuses must get a configuration from the scheduling node that takes longer to send as it is than a probe may
// take, and stay in contact meanwhile.
func TestLargeConfigurationComesFromTheSchedulingNode(t *testing.T) {
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		c.view = versionView{}
		row := beryllatch.DataRow{Table: "operations", Key: "config", Value: []byte("1"), Version: 1}
		c.store.rows[rowName(row.Table, row.Part, row.Key)] = row
		for range 4 {
			c.join(0.4)
		}
		time.Sleep(2 * time.Second)
		first := c.schedulingNodes()[0]
		for i := range c.nodes {
			if i != first {
				c.stores[i].setNoOperations()
			}
		}
		time.Sleep(time.Second)
		c.mesh.mu.Lock()
		c.mesh.bandwidth = 1 << 20
		c.mesh.mu.Unlock()
		row.Value = []byte("2" + strings.Repeat(" ", 1<<20))
		c.nodes[first].applyConfiguration(row, sourceStore)
		time.Sleep(defaultConfigurationDelay)
		for i, n := range c.nodes {
			assert.Equal(t, n.configVersion(), int64(2), "node %d", i)
			assert.Assert(t, n.Ready(), "node %d", i)
		}
	})
}

// While the scheduling node is behind, the jobs of nodes with a newer configuration must wait for one read of it, and are not judged by the
// older one if that read fails.
func TestSchedulingNodeCatchesUpOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		fails bool
		reads int64
	}{
		"the store answers":   {false, 1},
		"the store is silent": {true, 40},
	} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 0, func(t *testing.T, c *cluster) {
				c.view = versionView{}
				row := beryllatch.DataRow{Table: "operations", Key: "config", Value: []byte("1"), Version: 1}
				c.store.rows[rowName(row.Table, row.Part, row.Key)] = row
				c.join(0.4)
				time.Sleep(2 * time.Second)
				n := c.nodes[0]
				if tc.fails {
					c.stores[0].setNoOperations()
				}
				c.store.mu.Lock()
				row.Value = []byte("2")
				c.store.rows[rowName(row.Table, row.Part, row.Key)] = row
				c.store.mu.Unlock()
				var wg sync.WaitGroup
				var refused atomic.Int64
				for range 40 {
					wg.Go(func() {
						r, err := Server{Node: n}.SubmitJob(t.Context(), &berylwire.SubmitJobRequest{Job: []byte(`{}`), PatienceMs: 1000, ConfigVersion: 2})
						assert.Check(t, err)
						if r.GetRefusal().GetReason() == string(beryllatch.ReasonNoScheduler) && r.GetRefusal().GetRunState() == string(beryllatch.RunStateNotRun) {
							refused.Add(1)
						}
					})
				}
				wg.Wait()
				assert.Equal(t, refused.Load() == 40, tc.fails, "%d refused", refused.Load())
				reads := c.stores[0].configReads.Load()
				assert.Assert(t, reads <= tc.reads, "%d reads", reads)
			})
		})
	}
}

// A node that was paused or cut off for some seconds must not schedule by the configuration of before.
func TestOutdatedNodeReadsTheConfigurationBeforeItSchedules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{version: 7, rows: map[string]beryllatch.DataRow{
			rowName("operations", "", "config"): {Table: "operations", Key: "config", Value: []byte("2"), Version: 7},
		}}
		n := &Node{View: versionView{}, Store: store, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
		n.applyOperations([]beryllatch.DataRow{{Key: "config", Value: []byte("1"), Version: 3}}, true, 3)
		n.recordOperationsRead(time.Now())
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, err := n.newSession(ctx, schedulingNode{Epoch: 2})
		assert.NilError(t, err)
		s.endEpoch()
		assert.Equal(t, n.configVersion(), int64(2))
	})
}

// registryView decodes each registration as a worker with the row's key as ID.
type registryView struct{ versionView }

func (registryView) Worker(r beryllatch.DataRow) (beryllatch.WorkerInfo, error) {
	return beryllatch.WorkerInfo{ID: r.Key, Pool: "p"}, nil
}

// staleRegistry has lost the history of the registrations, and answers the first reads of all of them from an old state.
type staleRegistry struct {
	*memoryStore
	stale int
}

func (s *staleRegistry) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	if table != (registryView{}).WorkersTable() {
		return s.memoryStore.Rows(ctx, table, part)
	}
	if s.stale--; s.stale >= 0 {
		return []beryllatch.DataRow{{Table: table, Key: "left"}, {Table: table, Key: "stays"}}, 10, nil
	}
	return []beryllatch.DataRow{{Table: table, Key: "stays"}}, 30, nil
}

func (s *staleRegistry) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]beryllatch.DataRow, int64, error) {
	if after < 30 {
		return nil, 0, &beryllatch.HistoryLostError{Table: table}
	}
	return s.memoryStore.Changes(ctx, table, after, wait)
}

// A worker that has left must not come back by a read of the registry that was answered from an older state.
func TestStaleReadBringsNoWorkerBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &staleRegistry{memoryStore: &memoryStore{}, stale: 2}
		n := &Node{View: registryView{}, Store: store, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
		ctx, cancel := context.WithCancel(t.Context())
		s := &session{node: n, ctx: ctx, endEpoch: cancel, registryVersion: 20}
		s.apply(berylscheduler.Recovered{})
		s.apply(berylscheduler.RegistryRead{Workers: []beryllatch.WorkerInfo{{ID: "stays", Pool: "p"}}})
		go s.watchRegistry(ctx)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, n.Metrics.Counter("decisions.worker_registered"), int64(1))
		}
		cancel()
		synctest.Wait()
		assert.Equal(t, s.registryVersion, int64(30))
	})
}
