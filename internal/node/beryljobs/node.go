package beryljobs

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylguard"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
	"github.com/google/uuid"
)

const (
	// staleAfter is how long a node counts as connected to the store after an answer of it.
	staleAfter = 3 * time.Second
	// defaultConfigurationDelay is used if the settings give none.
	defaultConfigurationDelay = 2 * time.Second
	// configurationMargin is the part of the configuration delay that is left for requests on their way.
	configurationMargin = 100 * time.Millisecond
	// configurationReads is how often the configuration is read in a configuration delay while nothing changes.
	configurationReads = 4
)

// Node is an entry node; its exported fields are set before Run.
type Node struct {
	Name string
	// Address is where the other nodes reach this one.
	Address string
	// CPUShare is the part of a core that the node may use. Nodes with a larger one are preferred for scheduling.
	CPUShare float64
	// ConfigurationDelay is how long after its confirmation a change of the configuration may come into force; 0 means
	// defaultConfigurationDelay.
	ConfigurationDelay time.Duration
	Limits             berylscheduler.Limits
	// Store is the node's own connection to the row store.
	Store     beryllatch.RowStore
	View      beryllatch.FleetView
	Workers   beryllatch.RunClient
	Instances beryllatch.InstanceManager
	Advisor   beryllatch.PlacementAdvisor
	Peers     *http.Client
	Log       *DecisionLog
	Metrics   *berylmetrics.Registry

	relay       berylrelay.Relay
	relayOnce   sync.Once
	incarnation string
	speed       speedMeter
	stopping    atomic.Bool
	configRow   atomic.Pointer[beryllatch.DataRow]
	deployment  atomic.Pointer[beryllatch.Deployment]
	operations  atomic.Pointer[beryllatch.Operations]
	// packedConfig is the compressed configuration for other nodes.
	packedConfig atomic.Pointer[packedConfig]
	// fetching is true while a fetch of the configuration from the scheduling node is under way.
	fetching atomic.Bool
	// catchingUp holds a value while a call reads a newer configuration that another node has.
	catchingUp chan struct{}
	// retryTimes plans when the callers return that this node refuses by itself.
	retryTimes retryTimes

	operationsMu sync.Mutex
	// operationsVersion is the version of the store that operations show.
	operationsVersion int64

	mu sync.Mutex
	// lastStoreAnswer is when the store last answered.
	lastStoreAnswer time.Time
	// operationsRead is when the last answered read of the configuration and the operators' requests was sent. The node knows all
	// changes up to then.
	operationsRead time.Time
	// lastConfirmed is the time up to which this node knows all changes of the configuration by the scheduling node's answers to
	// its probes.
	lastConfirmed time.Time
	// missingSince is since when the scheduling node has had a newer configuration; zero if it has none.
	missingSince   time.Time
	schedulingNode schedulingNode
	// acknowledged is the scheduling node's last answer to a probe.
	acknowledged acknowledgement
	// claimedEpoch is the last epoch that this node knows to have claimed.
	claimedEpoch int64
	// largerNodes is how many nodes could take over and have a larger share of a core, by the last answer of the
	// scheduling node.
	largerNodes int
	peers       map[string]peer
	session     *session
	// wake ends a wait of the loop that probes or schedules, so that it checks its conditions at once.
	wake chan struct{}
}

// schedulingNode is the duty row: the node that schedules, or that last did. The JSON names are those of the stored
// row.
type schedulingNode struct {
	Node        string `json:"node"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// CPUShare is the part of a core that the node may use.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// Released is true once the node has released the scheduling role.
	Released bool `json:"released,omitempty"`
	// Successor is the node that should take over a released role; the stored row calls it the heir.
	Successor string `json:"heir,omitempty"`
	version   int64
	// handedOver is true if the predecessor has named this node as successor. The predecessor is still running then, so
	// its last calls to workers and instances may be under way.
	handedOver bool
	// predecessorMayAct is true if the predecessor's process may still run, and has not released the role.
	predecessorMayAct bool
	// claimedAt is when the request was sent whose answer has shown that this node holds the row; zero for other nodes' rows.
	claimedAt time.Time
}

// peer is what the scheduling node knows of a node that probes it.
type peer struct {
	address  string
	cpuShare float64
	slow     bool
	storeAge time.Duration
	probedAt time.Time
}

// Run takes part in the deployment until ctx is cancelled.
func (n *Node) Run(ctx context.Context) {
	n.incarnation = uuid.NewString()
	n.mu.Lock()
	n.wake = make(chan struct{}, 1)
	n.catchingUp = make(chan struct{}, 1)
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.keepRunning(ctx, "operations", n.watchOperations) })
	wg.Go(func() { n.keepRunning(ctx, "scheduling node", n.watchSchedulingNode) })
	wg.Wait()
}

// rows returns the row store. The scheduling node also reaches it through the nodes that probe it.
func (n *Node) rows() *berylrelay.Relay {
	n.relayOnce.Do(func() {
		n.relay = berylrelay.Relay{Direct: n.Store, Peers: n.storePeers, Client: n.Peers, Log: n.Log.Event}
	})
	return &n.relay
}

// Stop releases the scheduling role permanently; the node still serves callers.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.wakeLoop()
}

// wakeLoop ends the present or next wait of the loop that probes or schedules.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Deployment returns the configuration in force, or nil while a newer one may have been in force for longer than the configuration
// delay.
func (n *Node) Deployment() *beryllatch.Deployment {
	if n.ConfigurationAge() > n.configurationDelay()-configurationMargin {
		return nil
	}
	return n.deployment.Load()
}

// ConfigurationAge returns the time since which a configuration may have been confirmed that this node doesn't know.
func (n *Node) ConfigurationAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(elapsed(n.operationsRead), elapsed(n.lastConfirmed))
}

func (n *Node) configurationDelay() time.Duration {
	return cmp.Or(n.ConfigurationDelay, defaultConfigurationDelay)
}

// operationsWait is how long the store may delay its answer while nothing has changed. It bounds the time until a node notices that
// the store no longer answers.
func (n *Node) operationsWait() time.Duration { return n.configurationDelay() / configurationReads }

// recordOperationsRead records that a read of the configuration and the operators' requests, sent at that time, has been applied.
func (n *Node) recordOperationsRead(sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sent.After(n.operationsRead) {
		n.operationsRead = sent
	}
}

// Ready reports whether callers should come to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.Deployment() != nil }

// storeAnswered records that the store has just answered.
func (n *Node) storeAnswered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lastStoreAnswer.IsZero() && time.Since(n.lastStoreAnswer) > staleAfter {
		n.Log.Event("dependency_regained", "store", time.Since(n.lastStoreAnswer).String())
	}
	n.lastStoreAnswer = time.Now()
}

// guard calls f and returns its error. A panic is logged, counted and returned as a *berylguard.PanicError.
func (n *Node) guard(work string, f func() error) error {
	err := berylguard.Call(f)
	var p *berylguard.PanicError
	if errors.As(err, &p) {
		n.Log.Event("panic", work, p.Error()+"\n"+string(p.Stack))
		n.Metrics.Count("panics", 1)
	}
	return err
}

// keepRunning calls f, and again after each panic, until ctx is cancelled.
func (n *Node) keepRunning(ctx context.Context, work string, f func(context.Context)) {
	for n.guard(work, func() error { f(ctx); return nil }) != nil && pause(ctx, retryPause) {
		n.Log.Event("restarted", work, "")
	}
}

// storeAge returns how long ago the store last answered this node.
func (n *Node) storeAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.lastStoreAnswer)
}

// elapsed returns the time since t by the monotonic or the wall clock, whichever shows more: the monotonic clock stands still
// while the machine is suspended, and the wall clock may be set back.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// pause waits for d and returns true, or returns false as soon as ctx is cancelled.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
