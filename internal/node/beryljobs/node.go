package beryljobs

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
	"github.com/google/uuid"
)

// staleAfter is how long a node trusts its configuration without hearing from the store or the scheduling node.
const staleAfter = 3 * time.Second

// Node is an entry node; its exported fields are set before Run.
type Node struct {
	Name string
	// Address is where the other nodes reach this one.
	Address string
	// CPUShare is the part of a core that the node may use; nodes with more take the duty over sooner.
	CPUShare float64
	Limits   berylscheduler.Limits
	// Store is the node's own way to the row store.
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
	stopping    atomic.Bool
	configRow   atomic.Pointer[beryllatch.DataRow]
	deployment  atomic.Pointer[beryllatch.Deployment]

	mu         sync.Mutex
	operations beryllatch.Operations
	// storeHeard is when the store last answered.
	storeHeard time.Time
	// holderHeard is when the scheduling node last confirmed this node's configuration.
	holderHeard time.Time
	holder      holder
	// larger is how many nodes with more of a core the holder last knew.
	larger  int
	peers   map[string]peer
	session *session
	// wake makes the duty loop look at once.
	wake chan struct{}
}

// holder is the node that holds the duty.
type holder struct {
	Node        string `json:"node"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// Released is true once the holder has given the duty up.
	Released bool `json:"released,omitempty"`
	// Heir is the node that should take a released duty.
	Heir    string `json:"heir,omitempty"`
	version int64
	// handed is true if the predecessor has handed the duty over and goes on running.
	handed bool
}

// peer is what the holder knows of a node that probes it.
type peer struct {
	address  string
	cpuShare float64
	storeAge time.Duration
	at       time.Time
}

// Run takes part in the deployment until ctx is cancelled.
func (n *Node) Run(ctx context.Context) {
	n.incarnation = uuid.NewString()
	n.mu.Lock()
	n.wake = make(chan struct{}, 1)
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.watchOperations(ctx) })
	wg.Go(func() { n.keepDuty(ctx) })
	wg.Wait()
}

// rows returns the row store, which the holder also reaches through the nodes that probe it.
func (n *Node) rows() *berylrelay.Relay {
	n.relayOnce.Do(func() {
		n.relay = berylrelay.Relay{Direct: n.Store, Lenders: n.lenders, Client: n.Peers, Log: n.Log.Event}
	})
	return &n.relay
}

// Stop gives the duty up; the node goes on to serve callers.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.poke()
}

func (n *Node) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Deployment returns the configuration in force, or nil while it may be outdated.
func (n *Node) Deployment() *beryllatch.Deployment {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.session == nil && time.Since(n.storeHeard) > staleAfter && time.Since(n.holderHeard) > staleAfter {
		return nil
	}
	return n.deployment.Load()
}

// Ready reports whether callers should come to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.Deployment() != nil }

// storeAnswered notes that the store has answered.
func (n *Node) storeAnswered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeHeard.IsZero() && time.Since(n.storeHeard) > staleAfter {
		n.Log.Event("dependency_regained", "store", time.Since(n.storeHeard).String())
	}
	n.storeHeard = time.Now()
}

func (n *Node) storeAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.storeHeard)
}

// pause waits, and reports false once ctx is cancelled.
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
