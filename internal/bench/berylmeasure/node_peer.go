package berylmeasure

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// executePeer carries out an effect that sends messages to other nodes; it ignores all others.
func (n *node) executePeer(x berylreducer.Effect) {
	switch x := x.(type) {
	case berylreducer.SendHeartbeats:
		n.sendHeartbeats(x)
	case berylreducer.NotifyUnits:
		n.send(x.Peer, berylreducer.UnitsTransferred{Team: x.Team})
	case berylreducer.RequestUnits:
		n.send(x.Peer, berylreducer.UnitsRequested{
			Team: x.Team, Incarnation: n.self.Incarnation, Units: x.Units, Demand: x.Demand,
		})
	case berylreducer.NotifyConfig:
		for _, p := range x.Peers {
			n.send(p, berylreducer.ConfigNotified{Version: x.Version})
			n.deliverPeerAnswer(p)
		}
	}
}

func (n *node) sendHeartbeats(x berylreducer.SendHeartbeats) {
	n.demand = x.Demand
	for _, p := range x.Peers {
		n.send(p, berylreducer.HeartbeatReceived{From: n.self, ConfigVersion: x.ConfigVersion, Demand: x.Demand, Work: x.Work})
		n.deliverPeerAnswer(p)
	}
}

// deliverPeerAnswer delivers a peer's answer to a message after a round trip. It carries the peer's demand, which the
// answer of a daemon does not.
func (n *node) deliverPeerAnswer(p berylreducer.Identity) {
	f := n.fleet
	peer := f.nodeByIncarnation(p.Incarnation)
	f.after(2*networkDelay, func() {
		n.post(berylreducer.HeartbeatReceived{From: p, ConfigVersion: peer.config.Version, Demand: peer.demand})
	})
}

func (n *node) send(p berylreducer.Identity, e berylreducer.Event) {
	peer := n.fleet.nodeByIncarnation(p.Incarnation)
	n.fleet.after(networkDelay, func() { peer.post(e) })
}

// nodeByIncarnation returns the node with the incarnation. It always exists, since no node stops during a run.
func (f *fleet) nodeByIncarnation(incarnation string) *node {
	for _, n := range f.nodes {
		if n.self.Incarnation == incarnation {
			return n
		}
	}
	return nil
}
