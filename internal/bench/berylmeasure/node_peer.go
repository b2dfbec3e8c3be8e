package berylmeasure

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// executePeer carries out the effects on other nodes.
func (n *node) executePeer(x berylreducer.Effect) {
	switch x := x.(type) {
	case berylreducer.SendHeartbeats:
		n.heartbeat(x)
	case berylreducer.NotifyUnits:
		n.send(x.Peer, berylreducer.UnitsMoved{Team: x.Team})
	case berylreducer.AskUnits:
		n.send(x.Peer, berylreducer.UnitsRequested{
			Team: x.Team, Incarnation: n.self.Incarnation, Units: x.Units, Demand: x.Demand,
		})
	case berylreducer.NotifyConfig:
		for _, p := range x.Peers {
			n.send(p, berylreducer.ConfigNotified{Version: x.Version})
			n.askPeer(p)
		}
	}
}

func (n *node) heartbeat(x berylreducer.SendHeartbeats) {
	n.demand = x.Demand
	for _, p := range x.Peers {
		n.send(p, berylreducer.HeartbeatReceived{From: n.self, ConfigVersion: x.ConfigVersion, Demand: x.Demand, Work: x.Work})
		n.askPeer(p)
	}
}

// askPeer delivers the peer's answer to a message; unlike a daemon's, it carries the peer's demand.
func (n *node) askPeer(p berylreducer.Identity) {
	f := n.fleet
	peer := f.node(p.Incarnation)
	f.after(2*networkDelay, func() {
		n.post(berylreducer.HeartbeatReceived{From: p, ConfigVersion: peer.config.Version, Demand: peer.demand})
	})
}

func (n *node) send(p berylreducer.Identity, e berylreducer.Event) {
	peer := n.fleet.node(p.Incarnation)
	n.fleet.after(networkDelay, func() { peer.post(e) })
}

// node returns the node of an incarnation; no node ends within a run.
func (f *fleet) node(incarnation string) *node {
	for _, n := range f.nodes {
		if n.self.Incarnation == incarnation {
			return n
		}
	}
	return nil
}
