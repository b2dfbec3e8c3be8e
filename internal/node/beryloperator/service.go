package beryloperator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"sync/atomic"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/twitchtv/twirp"
)

// maxChanges bounds the changes of one call; a fleet of twice the design size can be imported with one.
const maxChanges = 1500

var operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// service implements berylwire.Operator.
type service struct {
	node Node
	// calls counts calls, to give each an id.
	calls atomic.Uint64
}

// Apply validates changes to the configuration and returns the node's reply.
func (s *service) Apply(ctx context.Context, q *berylwire.ApplyRequest) (*berylwire.ApplyResponse, error) {
	if !operationIDPattern.MatchString(q.GetOperationId()) {
		return nil, twirp.InvalidArgumentError("operation_id", "must match "+operationIDPattern.String())
	}
	changes, err := decodeChanges(q.GetChanges())
	if err != nil {
		return nil, err
	}
	reply, err := s.node.ApplyChanges(ctx, berylreducer.ChangesRequested{
		CallID: fmt.Sprintf("operator-%d", s.calls.Add(1)), Operator: operatorOf(ctx),
		OperationID: q.GetOperationId(), ExpectedVersion: q.GetExpectedVersion(), Changes: changes,
	})
	if err != nil {
		// The changes may have been stored or not, so that the outcome is unknown.
		reply = berylreducer.ReplyOperator{
			Outcome: berylreducer.OutcomeUnknown, Reason: berylreducer.ReasonOutcomeUnknown,
		}
	}
	return &berylwire.ApplyResponse{
		Outcome: string(reply.Outcome), Reason: reply.Reason, Version: reply.Version,
		InForce: reply.InForce, WaitingFor: reply.WaitingFor,
	}, nil
}

// GetConfig returns the configuration in force, without the hashes of the API keys.
func (s *service) GetConfig(ctx context.Context, _ *berylwire.GetConfigRequest) (*berylwire.GetConfigResponse, error) {
	c, err := s.node.Config(ctx)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	c = withoutHashes(c)
	doc, err := json.Marshal(c)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &berylwire.GetConfigResponse{Config: doc, Version: c.Version}, nil
}

func withoutHashes(c beryllatch.Config) beryllatch.Config {
	for _, id := range beryllatch.SortedKeys(c.APIKeys) {
		k := c.APIKeys[id]
		k.Hash = ""
		c = c.WithAPIKey(k)
	}
	return c
}

// GetStatus returns the state of the nodes, teams and instances as this node sees it.
func (s *service) GetStatus(ctx context.Context, _ *berylwire.GetStatusRequest) (*berylwire.GetStatusResponse, error) {
	status, err := s.node.Status(ctx)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return status, nil
}

// GetTask returns one task, finished or not.
func (s *service) GetTask(ctx context.Context, q *berylwire.GetTaskRequest) (*berylwire.GetTaskResponse, error) {
	if q.GetId() == "" {
		return nil, twirp.RequiredArgumentError("id")
	}
	t, err := s.node.Task(ctx, q.GetId())
	var missing *TaskNotFoundError
	switch {
	case errors.As(err, &missing):
		return nil, twirp.NotFoundError(missing.Error())
	case err != nil:
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return encodeTask(t), nil
}
