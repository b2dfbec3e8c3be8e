package berylreducer

import "time"

const (
	// renewInterval leaves three tries within one tenure.
	renewInterval = time.Second
	// tenureLength bounds how long a node starts work on a configuration that may be out of date.
	tenureLength = 4 * time.Second
	// startByLimit bounds how long after its check a paused node's send can still start work.
	startByLimit = time.Second
)

// tenureState is the node's proof that its configuration is fresh.
type tenureState struct {
	until     time.Duration
	renewal   uint64
	lastSent  time.Duration
	inFlight  bool
	peers     []Identity
	headKnown uint64
	// pending is a renewal that waits for the adoption of the configuration version it read.
	pending Renewed
}

// mayStart reports whether the node may start work now.
func (r *Reducer) mayStart() bool { return r.now.Mono < r.tenure.until }

func (r *Reducer) renew() {
	t := &r.tenure
	t.renewal++
	t.inFlight = true
	t.lastSent = r.now.Mono
	state := NodeLive
	if r.stopping {
		state = NodeLeaving
	}
	r.emit(RenewTenure{Row: NodeRow{
		Identity: r.self, Renewal: t.renewal, ConfigVersion: r.config.Version, State: state,
	}})
}

func (r *Reducer) tickTenure() {
	if !r.tenure.inFlight && r.now.Mono-r.tenure.lastSent >= renewInterval {
		r.renew()
		r.emit(SendHeartbeats{Peers: r.tenure.peers, ConfigVersion: r.config.Version, Demand: r.demand()})
	}
}

func (r *Reducer) renewed(e Renewed) {
	t := &r.tenure
	t.inFlight = false
	t.peers = t.peers[:0]
	for _, n := range e.Nodes {
		if n.Incarnation != r.self.Incarnation {
			t.peers = append(t.peers, n.Identity)
		}
	}
	t.headKnown = max(t.headKnown, e.HeadVersion)
	t.pending = e
	if r.config.Version < e.HeadVersion {
		r.emit(ReadConfig{})
		return
	}
	r.extendTenure()
}

// extendTenure counts the pending renewal once the configuration is at least as new as the head that it read.
func (r *Reducer) extendTenure() {
	t := &r.tenure
	if r.config.Version >= t.pending.HeadVersion && t.pending.HeadVersion > 0 {
		t.until = max(t.until, t.pending.SentAt.Mono+tenureLength)
	}
}

func (r *Reducer) renewalFailed(e RenewalFailed) {
	r.tenure.inFlight = false
	r.count("renewal_failed")
	if e.Replaced {
		r.tenure.until = 0
		r.emit(LogState{Subject: "node", From: string(NodeLive), To: "replaced"}, Stop{})
	}
}

func (r *Reducer) peerHeard(e PeerHeard) {
	if e.ConfigVersion > r.config.Version {
		r.emit(ReadConfig{})
	}
}
