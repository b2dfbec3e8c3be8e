package beryljobs

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// ackValidity is how long an answer of the scheduling node allows this node to take over from it.
	ackValidity = 10 * time.Second
	// unknownNodeWait is how long the heartbeat row must have been unchanged before a node without such an answer may take over.
	unknownNodeWait = berylscheduler.PeerProofLimit
	// claimTime is longer than a claim may take from the check whether this node may take over, by its time-outs.
	claimTime = 5 * time.Second
	// knownPeerTime is how long after its last probe a node may still take over by the answer to it.
	knownPeerTime = ackValidity + claimTime
)

// peerEchoes holds what the scheduling node has learned in one epoch from the stamps that other nodes echo: an echo proves that the
// node had not taken over at the time of the stamp. The zero value is ready to use.
type peerEchoes struct {
	mu    sync.Mutex
	nodes map[string]peerEcho
	// storeAt is when the last request was sent whose answer shows that the duty row was still that of this epoch.
	storeAt time.Time
}

// peerEcho is what is known of one node.
type peerEcho struct {
	// probed is when its last probe came.
	probed time.Time
	// first is the stamp of the first answer to it, and echoed the latest that it has echoed; 0 if there is none.
	first, echoed int64
}

// record records a probe of a node that echoes a stamp, or 0. stamp is that of the answer.
func (p *peerEchoes) record(node string, echoed, stamp int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nodes == nil {
		p.nodes = make(map[string]peerEcho)
	}
	e, known := p.nodes[node]
	if !known {
		e.first = stamp
	}
	e.probed = now
	if echoed <= stamp {
		e.echoed = max(e.echoed, echoed)
	}
	p.nodes[node] = e
}

// peersState is what the echoes of all known nodes prove.
type peersState struct {
	// at is the latest time at which none of them had taken over; zero if that is not known.
	at time.Time
	// last is the node that holds it back, and silence how long that node has proven nothing.
	last    string
	silence time.Duration
	// missing is how many of them have never echoed a stamp.
	missing int
}

// recordStoreProof records that a request, sent at the given time, was answered by the store as it is in this epoch alone.
func (p *peerEchoes) recordStoreProof(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(p.storeAt) {
		p.storeAt = sent
	}
}

// state returns what the echoes prove at a time, whose stamp is given. It forgets the nodes whose last probe was knownPeerTime old when the
// store last proved the epoch: they had not taken over by then, and no longer may by their last answer. It isn't enough that the
// probe is that old now, since a node that has taken over since that proof may have been silent for nearly as long before.
func (p *peerEchoes) state(now time.Time, stamp int64) peersState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s peersState
	for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
		e := p.nodes[name]
		if p.storeAt.Sub(e.probed) > knownPeerTime {
			delete(p.nodes, name)
			continue
		}
		proven := e.echoed
		if proven == 0 {
			s.missing++
			proven = e.first
		}
		// A probe may have come after the caller took the stamp.
		if silence := max(time.Duration(stamp-proven), 0); s.last == "" || silence > s.silence {
			s.last, s.silence = name, silence
		}
	}
	s.at = now.Add(-s.silence)
	if s.missing > 0 {
		s.at = time.Time{}
	}
	return s
}

// stamp returns the number by which another node can prove that it has had an answer from now. Stamps never go back, as the time of day may.
func (s *session) stamp() int64 { return int64(time.Since(s.began)) + 1 }

// peers returns what the other nodes' echoes prove now. Their time has the wall clock of the session's start, so that time for which the
// machine was suspended since adds to its age.
func (s *session) peers() peersState {
	stamp := s.stamp()
	return s.echoes.state(s.began.Add(time.Duration(stamp-1)), stamp)
}

// recordProbe records a probe of another node and returns the stamp for the answer.
func (s *session) recordProbe(r *berylwire.ProbeRequest) int64 {
	echoed := r.GetEchoedStamp()
	if r.GetEchoedEpoch() != s.self.Epoch {
		echoed = 0
	}
	stamp := s.stamp()
	s.echoes.record(r.GetNode(), echoed, stamp, time.Now())
	return stamp
}

// acknowledgement is the last answer of a scheduling node to a probe of this node.
type acknowledgement struct {
	incarnation string
	epoch       int64
	stamp       int64
	// sent is when the probe was sent.
	sent time.Time
}

// unechoedPeers is the gauge of the nodes that probe this one and have never echoed a stamp.
const unechoedPeers = "peers.unechoed"

// reportPeers counts the nodes without an echo, and logs which node holds the proof back.
func (s *session) reportPeers(p peersState) {
	n := s.node
	n.Metrics.Gauge(unechoedPeers, int64(p.missing))
	silent := p.silence > berylscheduler.MaxActingProofAge
	switch {
	case silent && !s.peersSilent:
		n.Log.Event("peers_silent", p.last, fmt.Sprintf("no proof for %v; nodes that have never echoed: %d", p.silence, p.missing))
	case !silent && s.peersSilent:
		n.Log.Event("peers_regained", n.Name, "")
	}
	s.peersSilent = silent
}

// ageText returns how long ago t was; zero means never.
func ageText(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).String() + " ago"
}
