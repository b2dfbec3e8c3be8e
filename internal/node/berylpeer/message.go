package berylpeer

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// Heartbeat is a node's periodic report to a peer.
type Heartbeat struct {
	From          berylreducer.Identity
	ConfigVersion uint64
	Demand        []berylreducer.Demand
	// Work is empty unless load moves are on.
	Work []berylreducer.PoolWork
	// AskGrant requests an outage grant: the peer's consent that the sender continues to start work while the platform is
	// unavailable.
	AskGrant bool
}

// Answer is a peer's answer to a heartbeat or a notice; From has no fields set but the node and the incarnation.
type Answer struct {
	From          berylreducer.Identity
	ConfigVersion uint64
	Demand        []berylreducer.Demand
	Granted       bool
}

// UnitRequest asks a peer to give up units of a team; Demand is the team's demand at the requesting node.
type UnitRequest struct {
	Incarnation string
	Team        string
	Units       int
	Demand      berylreducer.Demand
}

// Handler answers the calls of peers. It gets validated values only. An error that is not a twirp error reaches the
// peer with the code unavailable.
type Handler interface {
	// Heartbeat handles a peer's report and answers with this node's own.
	Heartbeat(ctx context.Context, h Heartbeat) (Answer, error)
	// NotifyConfig handles the notice that a configuration version is committed.
	NotifyConfig(ctx context.Context, version uint64) (Answer, error)
	// ReleaseUnits handles a peer's request for units.
	ReleaseUnits(ctx context.Context, u UnitRequest) error
	// NotifyUnits handles the notice that a peer has moved units of the team to this node.
	NotifyUnits(ctx context.Context, team string) error
}
