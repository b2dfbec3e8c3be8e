package berylcommand

import (
	"context"
	"fmt"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// taskShow shows one task.
type taskShow struct {
	ID string `arg:"" help:"ID of the task."`
}

// Run prints the fields of the task and the decisions about it.
func (cmd *taskShow) Run(s *session) error { return s.showTask(cmd.ID) }

// taskStatus is the printed state of a task.
type taskStatus struct {
	ID         string `json:"id"`
	Team       string `json:"team"`
	Queue      string `json:"queue"`
	State      string `json:"state"`
	Idempotent bool   `json:"idempotent"`
	Attempt    int32  `json:"attempt"`
	Instance   string `json:"instance,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Finished   string `json:"finished,omitempty"`

	Decisions []taskDecision `json:"decisions,omitempty"`
}

// taskDecision is the printed form of an operator's decision about a task.
type taskDecision struct {
	At          string `json:"at"`
	Operator    string `json:"operator"`
	As          string `json:"as"`
	NotRun      bool   `json:"not_run"`
	Reason      string `json:"reason"`
	OperationID string `json:"operation_id"`
}

func newTaskStatus(t *berylwire.GetTaskResponse) taskStatus {
	out := taskStatus{
		ID: t.GetId(), Team: t.GetTeam(), Queue: t.GetQueue(), State: t.GetState(), Idempotent: t.GetIdempotent(),
		Attempt: t.GetAttempt(), Instance: t.GetInstance(), Reason: t.GetReason(), Finished: t.GetFinished(),
	}
	for _, d := range t.GetDecisions() {
		out.Decisions = append(out.Decisions, taskDecision{
			At: d.GetAt(), Operator: d.GetOperator(), As: d.GetAs(), NotRun: d.GetNotRun(), Reason: d.GetReason(),
			OperationID: d.GetOperationId(),
		})
	}
	return out
}

// showTask prints a task and the decisions about it.
func (s *session) showTask(id string) error {
	t, err := query(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetTaskResponse, error) {
		return o.GetTask(ctx, &berylwire.GetTaskRequest{Id: id})
	})
	if err != nil {
		return err
	}
	v := newTaskStatus(t)
	if s.settings.Output == "json" {
		return s.printJSON(v)
	}
	decisions := table{header: []string{"at", "operator", "as", "not_run", "operation", "reason"}}
	for _, d := range v.Decisions {
		decisions.add(d, d.At, d.Operator, d.As, d.NotRun, d.OperationID, d.Reason)
	}
	v.Decisions = nil
	if err := s.printFields(v); err != nil || len(decisions.rows) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(s.stdout)
	return s.printTable(decisions)
}
