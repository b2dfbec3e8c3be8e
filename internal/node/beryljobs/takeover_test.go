package beryljobs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/common/berylstall"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"gotest.tools/v3/assert"
)

// memoryStore is a row store in memory.
type memoryStore struct {
	mu       sync.Mutex
	rows     map[string]beryllatch.DataRow
	version  int64
	attempts int64
}

func rowName(table, part, key string) string { return table + "/" + part + "/" + key }

// commitAttempts returns the number of transactions so far, refused ones included.
func (m *memoryStore) commitAttempts() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts
}

func (m *memoryStore) Commit(_ context.Context, tx beryllatch.RowTransaction) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts++
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

// nodeStore is a node's connection to the store, which a test can cut.
type nodeStore struct {
	*memoryStore
	mu  sync.Mutex
	cut bool
	// noOperations fails the reads of the operations table alone.
	noOperations bool
	// configReads counts the reads of the configuration's row alone.
	configReads atomic.Int64
}

func (r *nodeStore) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *nodeStore) setNoOperations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noOperations = true
}

func (r *nodeStore) err(table string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || r.noOperations && table == (plainView{}).OperationsTable() {
		return &beryllatch.UnavailableError{Err: fmt.Errorf("cut")}
	}
	return nil
}

func (r *nodeStore) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if err := r.err(""); err != nil {
		return 0, err
	}
	return r.memoryStore.Commit(ctx, tx)
}

func (r *nodeStore) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	if err := r.err(table); err != nil {
		return nil, 0, err
	}
	return r.memoryStore.Rows(ctx, table, part)
}

func (r *nodeStore) Row(ctx context.Context, table, part, key string) (beryllatch.DataRow, error) {
	if table == (plainView{}).OperationsTable() {
		r.configReads.Add(1)
		pause(ctx, 5*time.Millisecond)
	}
	if err := r.err(table); err != nil {
		return beryllatch.DataRow{}, err
	}
	return r.memoryStore.Row(ctx, table, part, key)
}

func (r *nodeStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]beryllatch.DataRow, int64, error) {
	if err := r.err(table); err != nil {
		return nil, 0, err
	}
	return r.memoryStore.Changes(ctx, table, after, wait)
}

// plainView decodes every configuration as one with a single queue; these tests have no workers.
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

// noInstances is an instance interface without instances.
type noInstances struct{}

func (noInstances) Instances(context.Context) ([]beryllatch.FleetInstance, error) { return nil, nil }
func (noInstances) Move(context.Context, string, int64, string, string) error     { return nil }
func (noInstances) Maintain(context.Context, string, int64, string, int) error    { return nil }

// mesh carries calls between nodes in memory. Calls to an unresponsive node are not answered, and neither are calls
// from a node in noAnswers.
type mesh struct {
	mu           sync.Mutex
	handlers     map[string]http.Handler
	unresponsive map[string]bool
	noAnswers    map[string]bool
	// ended holds nodes whose process has ended: nothing listens at their address.
	ended map[string]bool
	// bandwidth is the bytes a second at which a node gets answers; 0 is no limit.
	bandwidth int
}

func (m *mesh) dropAnswersTo(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noAnswers[node] = true
}

// meshTransport carries the calls of one node over the mesh.
type meshTransport struct {
	*mesh
	node string
}

func (m meshTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	m.mu.Lock()
	h, noAnswer, ended := m.handlers[r.URL.Host], m.unresponsive[r.URL.Host] || m.noAnswers[m.node], m.ended[r.URL.Host]
	bandwidth := m.bandwidth
	m.mu.Unlock()
	if ended {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if noAnswer {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := newRecorder()
	h.ServeHTTP(w, r)
	if bandwidth > 0 && !pause(r.Context(), time.Duration(w.Body.Len())*time.Second/time.Duration(bandwidth)) {
		return nil, r.Context().Err()
	}
	return w.response(r), nil
}

// cluster is a set of nodes on one store.
type cluster struct {
	store     *memoryStore
	mesh      *mesh
	nodes     []*Node
	stores    []*nodeStore
	view      beryllatch.FleetView
	startNode func(*Node)
}

func newCluster(ctx context.Context, wg *sync.WaitGroup, n int) *cluster {
	c := &cluster{
		view: plainView{},
		store: &memoryStore{version: 1, rows: map[string]beryllatch.DataRow{
			rowName("operations", "", "config"): {Table: "operations", Key: "config", Version: 1},
		}},
		mesh: &mesh{
			handlers: make(map[string]http.Handler), unresponsive: make(map[string]bool), noAnswers: make(map[string]bool),
			ended: make(map[string]bool),
		},
	}
	c.startNode = func(node *Node) { wg.Go(func() { node.Run(ctx) }) }
	for range n {
		c.join(0.4)
	}
	return c
}

// join starts another node.
func (c *cluster) join(cpuShare float64) {
	name := fmt.Sprintf("n%d", len(c.nodes))
	store := &nodeStore{memoryStore: c.store}
	node := &Node{
		Name: name, Address: name, CPUShare: cpuShare, Store: store, View: c.view,
		Instances: noInstances{}, Peers: &http.Client{Transport: &berylstall.Transport{Base: meshTransport{c.mesh, name}}}, Log: &DecisionLog{}, Metrics: berylmetrics.New(),
		Limits: berylscheduler.Limits{MaxLease: 10 * time.Second},
	}
	c.mesh.mu.Lock()
	routes := http.NewServeMux()
	routes.Handle(berylwire.JobsPathPrefix, berylwire.NewJobsServer(Server{Node: node}))
	routes.Handle(berylwire.RowsPathPrefix, berylwire.NewRowsServer(berylrelay.Server{Store: store}))
	c.mesh.handlers[node.Address] = routes
	c.mesh.mu.Unlock()
	c.nodes = append(c.nodes, node)
	c.stores = append(c.stores, store)
	c.startNode(node)
}

// schedulingNodes returns the indices of the nodes that schedule.
func (c *cluster) schedulingNodes() []int {
	var out []int
	for i, n := range c.nodes {
		if n.localSession() != nil {
			out = append(out, i)
		}
	}
	return out
}

// epoch returns the latest epoch that any node knows.
func (c *cluster) epoch() int64 {
	var epoch int64
	for _, n := range c.nodes {
		epoch = max(epoch, n.lastEpoch())
	}
	return epoch
}

// testCluster calls f with a cluster that has had time to get a scheduling node.
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
		assert.Equal(t, len(c.schedulingNodes()), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, len(c.schedulingNodes()), 1)
		assert.Equal(t, c.epoch(), int64(1), "no node takes over while the scheduling node works")
	})
}

// If the store refuses the scheduling node, that node reaches it through another node. Scheduling continues, and no
// node takes over.
func TestTurnedAwayHolderGoesOn(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.stores[first].setCut(true)
		c.stores[(first+1)%len(c.nodes)].setCut(true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		j := beryllatch.Job{ID: "0000000000000001", Queue: "q", Steps: []beryllatch.JobStep{{Count: 1}}}
		start := time.Now()
		assert.NilError(t, c.nodes[(first+2)%len(c.nodes)].Submit(ctx, j))
		assert.Assert(t, time.Since(start) < 500*time.Millisecond, "accepted after %v", time.Since(start))
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.epoch(), int64(1))
		c.stores[first].setCut(false)
		time.Sleep(time.Second)
		assert.Equal(t, len(c.nodes[first].storePeers()), len(c.nodes)-2, "a node without the store must not be used to reach it")
	})
}

// When the scheduling node alone loses the store and the other nodes, exactly one of them takes over. Repeated
// takeovers would stop all work.
func TestOneTakeoverFromACutHolder(t *testing.T) {
	testCluster(t, 16, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.stores[first].setCut(true)
		c.mesh.dropAnswersTo(c.nodes[first].Name)
		time.Sleep(4 * time.Second)
		assert.Equal(t, c.epoch(), int64(2))
		var others []int
		for _, i := range c.schedulingNodes() {
			if i != first {
				others = append(others, i)
			}
		}
		assert.Equal(t, len(others), 1)
	})
}

// An outage of the store for all nodes causes no takeover, neither during the outage nor at its end.
func TestOutageOfTheStoreKeepsTheHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		for _, s := range c.stores {
			s.setCut(true)
		}
		time.Sleep(20 * time.Second)
		for _, s := range c.stores {
			s.setCut(false)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.epoch(), int64(1))
	})
}

// A scheduling node whose process has ended, so that nothing listens at its address, is replaced without waiting for
// its heartbeat to expire.
func TestTakeoverFromAnEndedHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.mesh.mu.Lock()
		c.mesh.ended[c.nodes[first].Address] = true
		c.mesh.mu.Unlock()
		c.stores[first].setCut(true)
		c.mesh.dropAnswersTo(c.nodes[first].Name)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// A scheduling node that no longer answers or reaches the store is replaced within three seconds, by one node.
func TestTakeoverFromASilentHolder(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.mesh.mu.Lock()
		c.mesh.unresponsive[c.nodes[first].Address] = true
		c.mesh.mu.Unlock()
		c.stores[first].setCut(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// A node that stops releases the scheduling role, so that another one takes over at once.
func TestStoppingNodeHandsOver(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.nodes[first].Stop()
		time.Sleep(time.Second)
		assert.Equal(t, c.epoch(), int64(2))
		assert.Assert(t, len(c.schedulingNodes()) == 1 && c.schedulingNodes()[0] != first)
	})
}

// Small machines cannot carry the scheduling of a large deployment: one that has become the scheduling node hands over
// to a larger one.
func TestSmallNodeHandsTheDutyToALargerOne(t *testing.T) {
	testCluster(t, 6, func(t *testing.T, c *cluster) {
		c.join(0.8)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, c.schedulingNodes(), []int{len(c.nodes) - 1})
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// versionView decodes a configuration whose row holds its version as text.
type versionView struct{ plainView }

func (versionView) Deployment(r beryllatch.DataRow) (*beryllatch.Deployment, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(string(r.Value)), 10, 64)
	return beryllatch.Deployment{Version: n}.WithIndex(), err
}

// An outdated read, from the store or from another node, must not bring an older configuration back.
func TestConfigurationNeverReverts(t *testing.T) {
	n := &Node{View: versionView{}, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
	row := func(value string, version int64) beryllatch.DataRow {
		return beryllatch.DataRow{Key: "config", Value: []byte(value), Version: version}
	}
	n.applyOperations([]beryllatch.DataRow{row("5", 10)}, true, 10)
	n.applyOperations([]beryllatch.DataRow{row("4", 8)}, true, 9)
	n.applyConfiguration(row("3", 0), sourceSchedulingNode)
	n.applyConfiguration(row("broken", 11), sourceStore)
	assert.Equal(t, n.configVersion(), int64(5))
	n.applyConfiguration(row("6", 12), sourceStore)
	assert.Equal(t, n.configVersion(), int64(6))
}

// A scheduling node that was paused and has been replaced meanwhile must not deny jobs that its successor has accepted.
func TestPausedHolderDoesNotDenyJobs(t *testing.T) {
	testCluster(t, 4, func(t *testing.T, c *cluster) {
		first := c.schedulingNodes()[0]
		c.stores[first].setCut(true)
		c.mesh.dropAnswersTo(c.nodes[first].Name)
		time.Sleep(4 * time.Second)
		var second int
		for _, i := range c.schedulingNodes() {
			if i != first {
				second = i
			}
		}
		assert.Assert(t, c.nodes[first].localSession() != nil, "the first node does not know yet that it was replaced")
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		j := beryllatch.Job{ID: "0000000000000001", Queue: "q", Steps: []beryllatch.JobStep{{Count: 1}}}
		assert.NilError(t, c.nodes[second].Submit(ctx, j))
		c.stores[first].setCut(false)
		state, err := c.nodes[first].JobState(ctx, "q", j.ID)
		assert.NilError(t, err)
		assert.Equal(t, state, beryllatch.JobQueued)
		var unknown *beryllatch.UnknownJobError
		assert.Assert(t, !errors.As(c.nodes[first].Cancel(ctx, "q", j.ID), &unknown))
		_, err = c.nodes[first].JobState(ctx, "q", "00000000000000ff")
		assert.Assert(t, errors.As(err, &unknown))
	})
}

// After the end of an epoch the session stores nothing more. Otherwise it would repeat transactions forever at a store
// that no longer answers.
func TestEndedEpochStoresNothing(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		s := c.nodes[0].localSession()
		c.nodes[0].Stop()
		time.Sleep(2 * time.Second)
		before := c.store.commitAttempts()
		s.apply(berylscheduler.JobSubmitted{Job: beryllatch.Job{ID: "0000000000000001", Queue: "q"}})
		s.apply(berylscheduler.Ticked{})
		time.Sleep(time.Minute)
		assert.Equal(t, c.store.commitAttempts(), before)
	})
}

// A job must be judged by the node's newest configuration, also while the goroutine that has read it waits for the session's lock.
func TestJobIsJudgedByTheNewestConfiguration(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		n := c.nodes[0]
		d := &beryllatch.Deployment{Version: 2, Queues: map[string]beryllatch.JobQueue{"added": {Name: "added", Pool: "p", MaxAttempts: 1}}}
		n.deployment.Store(d.WithIndex())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		j := beryllatch.Job{ID: "0000000000000001", Queue: "added", Steps: []beryllatch.JobStep{{Count: 1}}}
		assert.NilError(t, n.localSession().submit(ctx, j))
	})
}
