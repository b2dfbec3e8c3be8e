package beryldaemon

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylpeer"
	"github.com/google/uuid"
)

// executePeer carries out the effects that call or answer peers, and returns false for any other effect.
func (d *Daemon) executePeer(ctx context.Context, x berylreducer.Effect) bool {
	switch x := x.(type) {
	case berylreducer.SendHeartbeats:
		d.sendHeartbeats(ctx, x)
	case berylreducer.NotifyConfig:
		for _, peer := range x.Peers {
			d.async(ctx, func(ctx context.Context) { d.notifyConfig(ctx, peer, x.Version) })
		}
	case berylreducer.RequestUnits:
		d.async(ctx, func(ctx context.Context) { d.requestUnits(ctx, x) })
	case berylreducer.NotifyUnits:
		d.async(ctx, func(ctx context.Context) { d.notifyUnits(ctx, x) })
	case berylreducer.ReplyGrant:
		d.grantCalls.resolve(x.CallID, x.Granted)
	default:
		return false
	}
	return true
}

func (d *Daemon) sendHeartbeats(ctx context.Context, x berylreducer.SendHeartbeats) {
	self, _ := d.state.get()
	h := berylpeer.Heartbeat{From: self, ConfigVersion: x.ConfigVersion, Demand: x.Demand, Work: x.Work, AskGrant: x.AskGrant}
	sent := d.now()
	for _, peer := range x.Peers {
		d.async(ctx, func(ctx context.Context) {
			a, err := d.Peers.Heartbeat(ctx, peer, h)
			if err != nil {
				d.Metrics.Count("peer_failed.heartbeat", 1)
				return
			}
			e := heartbeatEvent(a)
			if x.AskGrant {
				e.GrantRequestedAt, e.Granted = sent, a.Granted
			}
			d.Post(e)
		})
	}
}

// heartbeatEvent returns the event that passes what a peer has answered to the reducer.
func heartbeatEvent(a berylpeer.Answer) berylreducer.HeartbeatReceived {
	return berylreducer.HeartbeatReceived{From: a.From, ConfigVersion: a.ConfigVersion, Demand: a.Demand}
}

func (d *Daemon) notifyConfig(ctx context.Context, peer berylreducer.Identity, version uint64) {
	a, err := d.Peers.NotifyConfig(ctx, peer, version)
	if err != nil {
		d.Metrics.Count("peer_failed.notify_config", 1)
		return
	}
	d.Post(heartbeatEvent(a))
}

func (d *Daemon) requestUnits(ctx context.Context, x berylreducer.RequestUnits) {
	self, _ := d.state.get()
	err := d.Peers.ReleaseUnits(ctx, x.Peer, berylpeer.UnitRequest{
		Incarnation: self.Incarnation, Team: x.Team, Units: x.Units, Demand: x.Demand,
	})
	if err != nil {
		d.Metrics.Count("peer_failed.release_units", 1)
	}
}

func (d *Daemon) notifyUnits(ctx context.Context, x berylreducer.NotifyUnits) {
	if err := d.Peers.NotifyUnits(ctx, x.Peer, x.Team); err != nil {
		d.Metrics.Count("peer_failed.notify_units", 1)
	}
}

// Heartbeat passes a peer's report to the reducer and answers with this node's identity and configuration version. If
// the peer requests an outage grant, it waits for the reducer's decision.
func (d *Daemon) Heartbeat(ctx context.Context, h berylpeer.Heartbeat) (berylpeer.Answer, error) {
	d.Post(berylreducer.HeartbeatReceived{From: h.From, ConfigVersion: h.ConfigVersion, Demand: h.Demand, Work: h.Work})
	a := d.peerAnswer()
	if !h.AskGrant {
		return a, nil
	}
	id := uuid.NewString()
	granted, err := d.grantCalls.wait(ctx, id, func() { d.Post(berylreducer.GrantRequested{From: h.From, CallID: id}) })
	a.Granted = granted
	return a, err
}

// NotifyConfig tells the reducer of a configuration version that a peer has committed, and answers once that version is
// in force at this node.
func (d *Daemon) NotifyConfig(ctx context.Context, version uint64) (berylpeer.Answer, error) {
	d.Post(berylreducer.ConfigNotified{Version: version})
	err := d.state.wait(ctx, version)
	return d.peerAnswer(), err
}

func (d *Daemon) peerAnswer() berylpeer.Answer {
	self, c := d.state.get()
	return berylpeer.Answer{From: self, ConfigVersion: c.Version}
}

// ReleaseUnits passes a peer's request for units of a team to the reducer.
func (d *Daemon) ReleaseUnits(_ context.Context, u berylpeer.UnitRequest) error {
	d.Post(berylreducer.UnitsRequested{Team: u.Team, Incarnation: u.Incarnation, Units: u.Units, Demand: u.Demand})
	return nil
}

// NotifyUnits passes a peer's notice that it has moved units of the team to this node to the reducer.
func (d *Daemon) NotifyUnits(_ context.Context, team string) error {
	d.Post(berylreducer.UnitsTransferred{Team: team})
	return nil
}
