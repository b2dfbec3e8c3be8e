package berylreducer

// heartbeatFanOut is the number of peers that a node sends its demand to each second. With 36 nodes, each peer is reached
// every 18 s.
const heartbeatFanOut = 2

// heartbeat sends this node's demand to the next peers in turn, or asks all peers for grants while renewals fail.
func (r *Reducer) heartbeat() {
	if r.tenure.renewalFailing {
		r.requestGrants()
		return
	}
	if peers := r.nextPeers(); len(peers) > 0 {
		r.emit(SendHeartbeats{Peers: peers, ConfigVersion: r.config.Version, Demand: r.demand(), Work: r.workByPool()})
	}
}

// nextPeers returns the peers whose turn it is to be sent a heartbeat.
func (r *Reducer) nextPeers() []Identity {
	members := r.registeredMembers()
	var peers []Identity
	for range min(heartbeatFanOut, len(members)) {
		m := members[r.nextHeartbeatPeer%len(members)]
		r.nextHeartbeatPeer++
		if !m.expired {
			peers = append(peers, m.row.Identity)
		}
	}
	return peers
}

// heartbeatReceived records what a registered peer reports in a heartbeat or in its answer to one.
func (r *Reducer) heartbeatReceived(e HeartbeatReceived) {
	r.configNotified(ConfigNotified{Version: e.ConfigVersion})
	m := r.members[e.From.Incarnation]
	if m == nil {
		return
	}
	m.reportedVersion = max(m.reportedVersion, e.ConfigVersion)
	if len(e.Demand) > 0 {
		m.demand = nil
		r.recordDemand(m, e.Demand...)
	}
	if len(e.Work) > 0 {
		m.work, m.workAt = e.Work, r.now.Mono
	}
	r.grantReceived(m, e)
	r.checkInForce()
}
