package beryljobs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"gotest.tools/v3/assert"
)

// memoryStore is a row store in memory; cut nodes get no answer of it.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[string]beryllatch.DataRow
	version int64
	tried   int64
}

func rowName(table, part, key string) string { return table + "/" + part + "/" + key }

// commits returns the number of transactions so far.
func (m *memoryStore) commits() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tried
}

func (m *memoryStore) Commit(_ context.Context, tx beryllatch.RowTransaction) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tried++
	for _, c := range tx.Conditions {
		if m.rows[rowName(c.Table, c.Part, c.Key)].Version != c.Version {
			conflict := &beryllatch.RowConflictError{}
			for _, c := range tx.Conditions {
				if r, ok := m.rows[rowName(c.Table, c.Part, c.Key)]; ok {
					conflict.Rows = append(conflict.Rows, r)
				}
			}
			return 0, conflict
		}
	}
	m.version++
	for _, r := range tx.Puts {
		r.Version = m.version
		m.rows[rowName(r.Table, r.Part, r.Key)] = r
	}
	for _, r := range tx.Deletes {
		delete(m.rows, rowName(r.Table, r.Part, r.Key))
	}
	return m.version, nil
}

func (m *memoryStore) Rows(_ context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []beryllatch.DataRow
	for _, r := range m.rows {
		if r.Table == table && r.Part == part {
			out = append(out, r)
		}
	}
	return out, m.version, nil
}

func (m *memoryStore) Row(_ context.Context, table, part, key string) (beryllatch.DataRow, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[rowName(table, part, key)], nil
}

func (m *memoryStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]beryllatch.DataRow, int64, error) {
	pause(ctx, wait)
	return nil, after, ctx.Err()
}

// reachable is a node's way to the store, which a test can cut.
type reachable struct {
	*memoryStore
	mu  sync.Mutex
	cut bool
}

func (r *reachable) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *reachable) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return &beryllatch.UnavailableError{Err: fmt.Errorf("cut")}
	}
	return nil
}

func (r *reachable) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if err := r.err(); err != nil {
		return 0, err
	}
	return r.memoryStore.Commit(ctx, tx)
}

func (r *reachable) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	if err := r.err(); err != nil {
		return nil, 0, err
	}
	return r.memoryStore.Rows(ctx, table, part)
}

func (r *reachable) Row(ctx context.Context, table, part, key string) (beryllatch.DataRow, error) {
	if err := r.err(); err != nil {
		return beryllatch.DataRow{}, err
	}
	return r.memoryStore.Row(ctx, table, part, key)
}

func (r *reachable) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]beryllatch.DataRow, int64, error) {
	if err := r.err(); err != nil {
		return nil, 0, err
	}
	return r.memoryStore.Changes(ctx, table, after, wait)
}

// plainView decodes every configuration as one with a queue; these tests have no workers.
type plainView struct{}

func (plainView) Deployment(beryllatch.DataRow) (*beryllatch.Deployment, error) {
	return beryllatch.Deployment{Version: 1, Queues: map[string]beryllatch.JobQueue{"q": {Name: "q", Pool: "p", MaxAttempts: 1}}}.WithIndex(), nil
}
func (plainView) ConfigurationKey() string { return "config" }
func (plainView) OperationsTable() string  { return "operations" }
func (plainView) ApplyOperation(o beryllatch.Operations, _ beryllatch.DataRow) (beryllatch.Operations, error) {
	return o, nil
}
func (plainView) WorkersTable() string { return "workers" }
func (plainView) Worker(beryllatch.DataRow) (beryllatch.WorkerInfo, error) {
	return beryllatch.WorkerInfo{}, nil
}
func (plainView) WaveStatus(int, bool) beryllatch.DataRow { return beryllatch.DataRow{} }

// noInstances is a platform without instances.
type noInstances struct{}

func (noInstances) Instances(context.Context) ([]beryllatch.FleetInstance, error) { return nil, nil }
func (noInstances) Move(context.Context, string, int64, string, string) error     { return nil }
func (noInstances) Maintain(context.Context, string, int64, string, int) error    { return nil }

// mesh carries calls between nodes in memory; silent nodes answer nobody, and nobody answers deaf ones.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	silent   map[string]bool
	deaf     map[string]bool
	// ended holds nodes whose process is gone: nothing listens at their address.
	ended map[string]bool
}

func (m *mesh) deafen(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf[node] = true
}

// meshEnd is a node's end of the mesh.
type meshEnd struct {
	*mesh
	node string
}

func (m meshEnd) RoundTrip(r *http.Request) (*http.Response, error) {
	m.mu.Lock()
	h, silent, ended := m.handlers[r.URL.Host], m.silent[r.URL.Host] || m.deaf[m.node], m.ended[r.URL.Host]
	m.mu.Unlock()
	if ended {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := newRecorder()
	h.ServeHTTP(w, r)
	return w.response(r), nil
}

// cluster is a set of nodes on one store.
type cluster struct {
	store *memoryStore
	mesh  *mesh
	nodes []*Node
	ways  []*reachable
	run   func(*Node)
}

func newCluster(ctx context.Context, wg *sync.WaitGroup, n int) *cluster {
	c := &cluster{
		store: &memoryStore{version: 1, rows: map[string]beryllatch.DataRow{
			rowName("operations", "", "config"): {Table: "operations", Key: "config", Version: 1},
		}},
		mesh: &mesh{
			handlers: make(map[string]http.Handler), silent: make(map[string]bool), deaf: make(map[string]bool),
			ended: make(map[string]bool),
		},
	}
	c.run = func(node *Node) { wg.Go(func() { node.Run(ctx) }) }
	for range n {
		c.join(0.4)
	}
	return c
}

// join starts another node.
func (c *cluster) join(cpuShare float64) {
	name := fmt.Sprintf("n%d", len(c.nodes))
	way := &reachable{memoryStore: c.store}
	node := &Node{
		Name: name, Address: name, CPUShare: cpuShare, Store: way, View: plainView{},
		Instances: noInstances{}, Peers: &http.Client{Transport: meshEnd{c.mesh, name}}, Log: &DecisionLog{}, Metrics: berylmetrics.New(),
		Limits: berylscheduler.Limits{MaxLease: 10 * time.Second, StopTimeout: 200 * time.Millisecond},
	}
	c.mesh.mu.Lock()
	routes := http.NewServeMux()
	routes.Handle(berylwire.JobsPathPrefix, berylwire.NewJobsServer(Server{Node: node}))
	routes.Handle(berylwire.RowsPathPrefix, berylwire.NewRowsServer(berylrelay.Server{Store: way}))
	c.mesh.handlers[node.Address] = routes
	c.mesh.mu.Unlock()
	c.nodes = append(c.nodes, node)
	c.ways = append(c.ways, way)
	c.run(node)
}

// holders returns the nodes that schedule.
func (c *cluster) holders() []int {
	var out []int
	for i, n := range c.nodes {
		if n.local() != nil {
			out = append(out, i)
		}
	}
	return out
}

func (c *cluster) epoch() int64 {
	var epoch int64
	for _, n := range c.nodes {
		epoch = max(epoch, n.knownEpoch())
	}
	return epoch
}

func testCluster(t *testing.T, nodes int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		c := newCluster(ctx, &wg, nodes)
		time.Sleep(2 * time.Second)
		defer func() {
			cancel()
			wg.Wait()
		}()
		f(t, c)
	})
}

func TestOneNodeSchedules(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		assert.Equal(t, len(c.holders()), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, len(c.holders()), 1)
		assert.Equal(t, c.epoch(), int64(1), "nobody takes over from a holder that is well")
	})
}

// A holder that the store turns away reaches it through another node: nothing stops, and nobody takes over.
func TestTurnedAwayHolderGoesOn(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.ways[first].setCut(true)
		c.ways[(first+1)%len(c.nodes)].setCut(true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		j := beryllatch.Job{ID: "0000000000000001", Queue: "q", Steps: []beryllatch.JobStep{{Count: 1}}}
		start := time.Now()
		assert.NilError(t, c.nodes[(first+2)%len(c.nodes)].Submit(ctx, j))
		assert.Assert(t, time.Since(start) < 500*time.Millisecond, "accepted after %v", time.Since(start))
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.epoch(), int64(1))
		c.ways[first].setCut(false)
		time.Sleep(time.Second)
		assert.Equal(t, len(c.nodes[first].lenders()), len(c.nodes)-2, "a node without the store is no way to it")
	})
}

// When the holder alone loses the store and the other nodes, exactly one of them takes over: a chain of takeovers would stop
// all work.
func TestOneTakeoverFromACutHolder(t *testing.T) {
	testCluster(t, 16, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.ways[first].setCut(true)
		c.mesh.deafen(c.nodes[first].Name)
		time.Sleep(4 * time.Second)
		assert.Equal(t, c.epoch(), int64(2))
		var others []int
		for _, i := range c.holders() {
			if i != first {
				others = append(others, i)
			}
		}
		assert.Equal(t, len(others), 1)
	})
}

// An outage of the store for all nodes changes no holder, neither meanwhile nor at its end.
func TestOutageOfTheStoreKeepsTheHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		for _, w := range c.ways {
			w.setCut(true)
		}
		time.Sleep(20 * time.Second)
		for _, w := range c.ways {
			w.setCut(false)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.epoch(), int64(1))
	})
}

// A holder whose process has ended, so that nothing listens at its address, is replaced without waiting for its beat.
func TestTakeoverFromAnEndedHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.mesh.mu.Lock()
		c.mesh.ended[c.nodes[first].Address] = true
		c.mesh.mu.Unlock()
		c.ways[first].setCut(true)
		c.mesh.deafen(c.nodes[first].Name)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// A silent holder is replaced within three seconds, by one node.
func TestTakeoverFromASilentHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.mesh.mu.Lock()
		c.mesh.silent[c.nodes[first].Address] = true
		c.mesh.mu.Unlock()
		c.ways[first].setCut(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// A node that stops gives the duty up, so that another one takes over at once.
func TestStoppingNodeHandsOver(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.nodes[first].Stop()
		time.Sleep(time.Second)
		assert.Equal(t, c.epoch(), int64(2))
		assert.Assert(t, len(c.holders()) == 1 && c.holders()[0] != first)
	})
}

// Small machines cannot carry the scheduling of a large deployment: one that has taken the duty hands it to a larger one.
func TestSmallNodeHandsTheDutyToALargerOne(t *testing.T) {
	testCluster(t, 6, func(t *testing.T, c *cluster) {
		c.join(0.8)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, c.holders(), []int{len(c.nodes) - 1})
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// versionView decodes a configuration whose row holds its version as text.
type versionView struct{ plainView }

func (versionView) Deployment(r beryllatch.DataRow) (*beryllatch.Deployment, error) {
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	return beryllatch.Deployment{Version: n}.WithIndex(), err
}

// A read that is behind, from the store or from another node, must not bring an older configuration back.
func TestConfigurationNeverReverts(t *testing.T) {
	n := &Node{View: versionView{}, Log: &DecisionLog{}}
	row := func(value string, version int64) beryllatch.DataRow {
		return beryllatch.DataRow{Key: "config", Value: []byte(value), Version: version}
	}
	n.takeOperations([]beryllatch.DataRow{row("5", 10)}, true, 10)
	n.takeOperations([]beryllatch.DataRow{row("4", 8)}, true, 9)
	n.takeConfiguration(row("3", 0))
	n.takeConfiguration(row("broken", 11))
	assert.Equal(t, n.configVersion(), int64(5))
	n.takeConfiguration(row("6", 12))
	assert.Equal(t, n.configVersion(), int64(6))
}

// A holder that was paused, and has lost the duty meanwhile, must not deny jobs that its successor has accepted.
func TestPausedHolderDoesNotDenyJobs(t *testing.T) {
	testCluster(t, 4, func(t *testing.T, c *cluster) {
		first := c.holders()[0]
		c.ways[first].setCut(true)
		c.mesh.deafen(c.nodes[first].Name)
		time.Sleep(4 * time.Second)
		var second int
		for _, i := range c.holders() {
			if i != first {
				second = i
			}
		}
		assert.Assert(t, c.nodes[first].local() != nil, "the first holder does not know yet")
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		j := beryllatch.Job{ID: "0000000000000001", Queue: "q", Steps: []beryllatch.JobStep{{Count: 1}}}
		assert.NilError(t, c.nodes[second].Submit(ctx, j))
		c.ways[first].setCut(false)
		state, err := c.nodes[first].JobState(ctx, "q", j.ID)
		assert.NilError(t, err)
		assert.Equal(t, state, beryllatch.JobQueued)
		var unknown *beryllatch.UnknownJobError
		assert.Assert(t, !errors.As(c.nodes[first].Cancel(ctx, "q", j.ID), &unknown))
		_, err = c.nodes[first].JobState(ctx, "q", "00000000000000ff")
		assert.Assert(t, errors.As(err, &unknown))
	})
}

// A store whose answer does not come any more after an epoch's end must not be asked again and again.
func TestEndedEpochStoresNothing(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		s := c.nodes[0].local()
		c.nodes[0].Stop()
		time.Sleep(2 * time.Second)
		before := c.store.commits()
		s.apply(berylscheduler.JobSubmitted{Job: beryllatch.Job{ID: "0000000000000001", Queue: "q"}})
		s.apply(berylscheduler.Ticked{})
		time.Sleep(time.Minute)
		assert.Equal(t, c.store.commits(), before)
	})
}
