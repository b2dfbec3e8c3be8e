package berylreducer

import "time"

const (
	// grantLength is how long a grant is valid, counted from the sending of its request.
	grantLength = 3 * time.Second
	// maxOutage bounds how long grants can extend a tenure after the last completed renewal.
	maxOutage = 15 * time.Minute
)

// requestGrants asks every node that was registered at the last read of the node rows for a grant, except those that are no
// longer in the platform's instance list.
func (r *Reducer) requestGrants() {
	t := &r.tenure
	if !r.mayStart() || r.now.Mono >= t.renewedAt+maxOutage || r.now.Mono-t.grantsRequestedAt < renewInterval/2 {
		return
	}
	t.grantsRequestedAt = r.now.Mono
	var peers []Identity
	for _, id := range t.knownIncarnations {
		if m := r.members[id]; id != r.self.Incarnation && m != nil && m.row.Node != "" && !m.instanceRemoved {
			peers = append(peers, m.row.Identity)
		}
	}
	if len(peers) > 0 {
		r.emit(SendHeartbeats{Peers: peers, ConfigVersion: r.config.Version, AskGrant: true})
	}
	r.extendByGrants()
}

// grantRequested answers a peer's request. This node grants only while it cannot reach the platform either.
func (r *Reducer) grantRequested(e GrantRequested) {
	t := &r.tenure
	granted := t.renewalFailing && !t.replaced && !t.deleting
	r.trackIncarnation(e.From.Incarnation)
	m := r.members[e.From.Incarnation]
	if m == nil || m.expired {
		granted = false
	}
	if granted {
		m.givenGrantUntil = r.now.Mono + grantLength
	}
	r.emit(ReplyGrant{CallID: e.CallID, Granted: granted})
}

func (r *Reducer) grantReceived(m *member, e HeartbeatReceived) {
	if !e.Granted || e.GrantRequestedAt.Mono < r.tenure.notBefore {
		return
	}
	m.receivedGrantUntil = max(m.receivedGrantUntil, e.GrantRequestedAt.Mono+grantLength)
	r.extendByGrants()
}

// extendByGrants extends a valid tenure to the end of the grant that ends first, if all known nodes have given one. An
// expired tenure needs a renewal instead, since a peer may have taken over the node's units.
func (r *Reducer) extendByGrants() {
	t := &r.tenure
	if !t.renewalFailing || !r.mayStart() || len(t.knownIncarnations) == 0 {
		return
	}
	until := t.renewedAt + maxOutage
	for _, id := range t.knownIncarnations {
		m := r.members[id]
		if id == r.self.Incarnation || (m != nil && m.instanceRemoved) {
			continue
		}
		if m == nil {
			return
		}
		until = min(until, m.receivedGrantUntil)
	}
	// A node without peers extends its tenure without any grant. A node that has registered since the last renewal takes
	// over nothing from this one before this tenure is certain to have expired.
	t.validUntil = max(t.validUntil, min(until, r.now.Mono+grantLength))
}
