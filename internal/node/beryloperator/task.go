package beryloperator

import (
	"context"
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/twitchtv/twirp"
)

const (
	// defaultListLimit is the number of tasks on a page of a list if the call sets no limit; maxListLimit is the
	// largest.
	defaultListLimit = 100
	maxListLimit     = 1000
	// maxReason bounds the reason for a decision in bytes, since it is stored in the task's row.
	maxReason = 500
)

// ListTasks returns a page of the tasks that wait for an operator.
func (s *service) ListTasks(ctx context.Context, q *berylwire.ListTasksRequest) (*berylwire.ListTasksResponse, error) {
	var states []beryllatch.TaskState
	for _, name := range q.GetStates() {
		state := beryllatch.TaskState(name)
		if !state.WaitsForOperator() {
			return nil, twirp.InvalidArgumentError("states", "must hold parked or unknown only, got "+name)
		}
		states = append(states, state)
	}
	limit := int(q.GetLimit())
	if limit < 0 || limit > maxListLimit {
		return nil, twirp.InvalidArgumentError("limit", fmt.Sprintf("must be between 0 and %d, got %d", maxListLimit, limit))
	}
	if limit == 0 {
		limit = defaultListLimit
	}
	tasks, err := s.node.WaitingTasks(ctx, states, q.GetAfter(), limit)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	out := &berylwire.ListTasksResponse{}
	for _, t := range tasks {
		out.Tasks = append(out.Tasks, encodeTask(t))
	}
	if len(tasks) == limit {
		out.Next = tasks[limit-1].ID
	}
	return out, nil
}

// ResolveTask validates an operator's decision about a task and returns the node's reply.
func (s *service) ResolveTask(
	ctx context.Context, q *berylwire.ResolveTaskRequest,
) (*berylwire.ResolveTaskResponse, error) {
	e := berylreducer.TaskResolveRequested{
		TaskID: q.GetId(), OperationID: q.GetOperationId(), Operator: operatorOf(ctx),
		As: beryllatch.TaskVerdict(q.GetAs()), Reason: q.GetReason(), NotRun: q.GetNotRun(),
	}
	if err := validateDecision(e); err != nil {
		return nil, err
	}
	e.CallID = fmt.Sprintf("operator-task-%d", s.calls.Add(1))
	reply, err := s.node.ResolveTask(ctx, e)
	if err != nil {
		// The decision may have been stored or not, so the outcome is unknown.
		reply = berylreducer.ReplyTaskResolve{
			Outcome: berylreducer.OutcomeUnknown, Reason: berylreducer.ReasonDecisionUnknown,
		}
	}
	out := &berylwire.ResolveTaskResponse{Outcome: string(reply.Outcome), Reason: reply.Reason, Settled: reply.Settled}
	if reply.Outcome == berylreducer.OutcomeAccepted {
		out.Task = encodeTask(reply.Task)
	}
	return out, nil
}

func validateDecision(e berylreducer.TaskResolveRequested) error {
	switch {
	case !operationIDPattern.MatchString(e.OperationID):
		return twirp.InvalidArgumentError("operation_id", "must match "+operationIDPattern.String())
	case e.TaskID == "":
		return twirp.RequiredArgumentError("id")
	case e.Reason == "" || len(e.Reason) > maxReason:
		return twirp.InvalidArgumentError("reason", fmt.Sprintf("must have between 1 and %d bytes, got %d", maxReason, len(e.Reason)))
	case e.NotRun && e.As != beryllatch.VerdictRequeue:
		return twirp.InvalidArgumentError("not_run", "is allowed only with requeue")
	}
	switch e.As {
	case beryllatch.VerdictDone, beryllatch.VerdictFailed, beryllatch.VerdictRequeue:
		return nil
	}
	return twirp.InvalidArgumentError("as", "must be done, failed or requeue, got "+string(e.As))
}

func encodeTask(t beryllatch.Task) *berylwire.GetTaskResponse {
	out := &berylwire.GetTaskResponse{
		Id: t.ID, Team: t.Team, Queue: t.Queue, State: string(t.State), Attempt: int32(t.Attempt),
		Instance: t.Instance, Reason: string(t.Reason), Idempotent: t.Idempotent,
	}
	if !t.Finished.IsZero() {
		out.Finished = t.Finished.UTC().Format(time.RFC3339)
	}
	for _, d := range t.Decisions {
		out.Decisions = append(out.Decisions, &berylwire.TaskDecision{
			OperationId: d.OperationID, Operator: d.Operator, As: string(d.As), Reason: d.Reason, NotRun: d.NotRun,
			At: d.At.UTC().Format(time.RFC3339),
		})
	}
	return out
}
