package berylpeer

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// Heartbeat is a node's report to a peer.
type Heartbeat struct {
	From          berylreducer.Identity
	ConfigVersion uint64
	Demand        []berylreducer.Demand
	// Work is empty while nodes don't move instances for load.
	Work []berylreducer.PoolWork
	// AskGrant asks for an outage grant.
	AskGrant bool
}

// Answer is a peer's answer to a heartbeat or a notice; From names the node and the incarnation only.
type Answer struct {
	From          berylreducer.Identity
	ConfigVersion uint64
	Demand        []berylreducer.Demand
	Granted       bool
}

// UnitRequest asks a peer for units of a team; Demand is the asking node's own state of that team.
type UnitRequest struct {
	Incarnation string
	Team        string
	Units       int
	Demand      berylreducer.Demand
}

// Handler answers the calls of peers; the server has validated every value, and an error reaches the peer as unavailable.
type Handler interface {
	// Heartbeat takes a peer's report and answers with this node's own.
	Heartbeat(ctx context.Context, h Heartbeat) (Answer, error)
	// NotifyConfig takes the notice of a committed configuration version.
	NotifyConfig(ctx context.Context, version uint64) (Answer, error)
	// ReleaseUnits takes a peer's request for units.
	ReleaseUnits(ctx context.Context, u UnitRequest) error
	// NotifyUnits takes the notice that a peer has moved units of the team to this node.
	NotifyUnits(ctx context.Context, team string) error
}
