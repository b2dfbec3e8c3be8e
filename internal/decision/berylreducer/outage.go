package berylreducer

import "time"

const (
	// grantLength is how long a grant lasts from the sending of its request.
	grantLength = 3 * time.Second
	// maxOutage bounds how long a node goes on by grants after its last completed renewal.
	maxOutage = 15 * time.Minute
)

// askGrants asks every node registered at the last completed renewal, but for those that have gone.
func (r *Reducer) askGrants() {
	t := &r.tenure
	if !r.mayStart() || r.now.Mono >= t.renewedAt+maxOutage || r.now.Mono-t.grantsAsked < renewInterval/2 {
		return
	}
	t.grantsAsked = r.now.Mono
	var peers []Identity
	for _, id := range t.known {
		if m := r.members[id]; id != r.self.Incarnation && m != nil && m.row.Node != "" && !m.gone {
			peers = append(peers, m.row.Identity)
		}
	}
	if len(peers) > 0 {
		r.emit(SendHeartbeats{Peers: peers, ConfigVersion: r.config.Version, AskGrant: true})
	}
	r.extendByGrants()
}

// grantAsked grants only while this node cannot reach the platform either.
func (r *Reducer) grantAsked(e GrantRequested) {
	t := &r.tenure
	granted := t.failing && !t.replaced && !t.deleting
	r.noteHolder(e.From.Incarnation)
	m := r.members[e.From.Incarnation]
	if m == nil || m.lapsed {
		granted = false
	}
	if granted {
		m.grantedUntil = r.now.Mono + grantLength
	}
	r.emit(ReplyGrant{CallID: e.CallID, Granted: granted})
}

func (r *Reducer) grantHeard(m *member, e HeartbeatReceived) {
	if !e.Granted || e.GrantRequestedAt.Mono < r.tenure.notBefore {
		return
	}
	m.grantUntil = max(m.grantUntil, e.GrantRequestedAt.Mono+grantLength)
	r.extendByGrants()
}

// extendByGrants carries a tenure that is still valid to the end of the earliest grant; a lapsed one needs a renewal,
// since a peer may have taken its units over.
func (r *Reducer) extendByGrants() {
	t := &r.tenure
	if !t.failing || !r.mayStart() || len(t.known) == 0 {
		return
	}
	until := t.renewedAt + maxOutage
	for _, id := range t.known {
		m := r.members[id]
		if id == r.self.Incarnation || (m != nil && m.gone) {
			continue
		}
		if m == nil {
			return
		}
		until = min(until, m.grantUntil)
	}
	// Without a peer to ask the node goes on at once; a node that registered since waits until it has surely lapsed.
	t.until = max(t.until, min(until, r.now.Mono+grantLength))
}
