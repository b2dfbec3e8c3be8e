package berylpeer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// maxBody bounds a request and an answer in bytes; the demand of 1024 teams fits.
	maxBody = 256 << 10
	// callTimeout bounds one call; an outage grant that arrives later is of no use.
	callTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed. It is longer than any round of heartbeats, so
	// that the connections of a round serve the next one too.
	idleTimeout = 90 * time.Second
)

// NewHandler returns the HTTP handler of the peers' listener, which validates calls and passes them to h.
func NewHandler(h Handler) http.Handler {
	rpc := berylwire.NewPeerServer(&service{h})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		rpc.ServeHTTP(w, r.WithContext(ctx))
	})
}

type service struct{ h Handler }

func (s *service) Heartbeat(ctx context.Context, m *berylwire.HeartbeatRequest) (*berylwire.HeartbeatResponse, error) {
	if err := validateHeartbeat(m); err != nil {
		return nil, err
	}
	a, err := s.h.Heartbeat(ctx, Heartbeat{
		From: identity(m.GetNode(), m.GetIncarnation()), ConfigVersion: m.GetConfigVersion(),
		Demand: demandFromWire(m.GetDemand()), Work: workFromWire(m.GetWork()), AskGrant: m.GetAskGrant(),
	})
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &berylwire.HeartbeatResponse{
		Node: a.From.Node, Incarnation: a.From.Incarnation, ConfigVersion: a.ConfigVersion,
		Granted: a.Granted, Demand: demandToWire(a.Demand),
	}, nil
}

func (s *service) NotifyConfig(
	ctx context.Context, m *berylwire.NotifyConfigRequest,
) (*berylwire.NotifyConfigResponse, error) {
	if m.GetVersion() == 0 {
		return nil, twirp.InvalidArgumentError("version", "must be at least 1")
	}
	a, err := s.h.NotifyConfig(ctx, m.GetVersion())
	if err != nil {
		return nil, toTwirpError(err)
	}
	return &berylwire.NotifyConfigResponse{
		Version: a.ConfigVersion, Incarnation: a.From.Incarnation, Node: a.From.Node,
	}, nil
}

func (s *service) ReleaseUnits(
	ctx context.Context, m *berylwire.ReleaseUnitsRequest,
) (*berylwire.ReleaseUnitsResponse, error) {
	if err := validateUnits(m); err != nil {
		return nil, err
	}
	u := UnitRequest{
		Incarnation: m.GetIncarnation(), Team: m.GetTeam(), Units: int(m.GetUnits()),
		Demand: demandFromWire([]*berylwire.TeamDemand{m.GetDemand()})[0],
	}
	return &berylwire.ReleaseUnitsResponse{}, toTwirpError(s.h.ReleaseUnits(ctx, u))
}

func (s *service) NotifyUnits(
	ctx context.Context, m *berylwire.NotifyUnitsRequest,
) (*berylwire.NotifyUnitsResponse, error) {
	if err := validateNames("team", m.GetTeam()); err != nil {
		return nil, err
	}
	return &berylwire.NotifyUnitsResponse{}, toTwirpError(s.h.NotifyUnits(ctx, m.GetTeam()))
}

// toTwirpError returns twirp errors unchanged and any other error with the code unavailable.
func toTwirpError(err error) error {
	var t twirp.Error
	if err == nil || errors.As(err, &t) {
		return err
	}
	return twirp.Unavailable.Error(err.Error())
}
