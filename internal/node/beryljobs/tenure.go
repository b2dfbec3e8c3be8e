package beryljobs

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// ackValidity is how long an answer of the scheduling node allows this node to take over from it.
	ackValidity = 10 * time.Second
	// peerTenure is how long the heartbeat row must have been unchanged before a node without such an answer may take over. The
	// scheduling node goes on for no longer than that on the word of the nodes that probe it.
	peerTenure = 10 * time.Second
	// knownPeerTime is how long the scheduling node remembers that a node has probed it in its epoch.
	knownPeerTime = 15 * time.Second
)

// peerEchoes holds what the scheduling node has learned in one epoch from the stamps that other nodes echo: an echo proves that the
// node had not taken over at the time of the stamp. The zero value is ready to use.
type peerEchoes struct {
	mu    sync.Mutex
	nodes map[string]peerEcho
}

// peerEcho is what is known of one node.
type peerEcho struct {
	// since is when the node was first heard of, and probed when its last probe came.
	since, probed time.Time
	// notReplaced is the latest time at which the node had certainly not taken over; zero if it has never echoed.
	notReplaced time.Time
}

// record records a probe of a node. echoed is the time of the stamp that it echoes, or zero.
func (p *peerEchoes) record(node string, echoed, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nodes == nil {
		p.nodes = make(map[string]peerEcho)
	}
	e, known := p.nodes[node]
	if !known {
		e.since = now
	}
	e.probed = now
	if echoed.After(e.notReplaced) && !echoed.After(now) {
		e.notReplaced = echoed
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

// state returns what the echoes prove at a time, and forgets nodes that no longer probe.
func (p *peerEchoes) state(now time.Time) peersState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := peersState{at: now}
	for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
		e := p.nodes[name]
		if now.Sub(e.probed) > knownPeerTime {
			delete(p.nodes, name)
			continue
		}
		proven := e.notReplaced
		if proven.IsZero() {
			s.missing++
			proven = e.since
		}
		if silence := now.Sub(proven); s.last == "" || silence > s.silence {
			s.last, s.silence = name, silence
		}
		if e.notReplaced.Before(s.at) {
			s.at = e.notReplaced
		}
	}
	return s
}

// stamp returns the number by which another node can prove that it has had an answer at that time.
func (s *session) stamp(at time.Time) int64 { return int64(at.Sub(s.began)) + 1 }

// recordProbe records a probe of another node and returns the stamp for the answer.
func (s *session) recordProbe(r *berylwire.ProbeRequest) int64 {
	now := time.Now()
	var echoed time.Time
	if stamp := r.GetEchoedStamp(); stamp > 0 && r.GetEchoedEpoch() == s.self.Epoch {
		echoed = s.began.Add(time.Duration(stamp - 1))
	}
	s.echoes.record(r.GetNode(), echoed, now)
	return s.stamp(now)
}

// acknowledgement is the last answer of a scheduling node to a probe of this node.
type acknowledgement struct {
	incarnation string
	epoch       int64
	stamp       int64
	// sent is when the probe was sent.
	sent time.Time
}
