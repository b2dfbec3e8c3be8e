package berylcommand

import (
	"fmt"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// taskResolve records an operator's decision about a task that is parked or of unknown outcome.
type taskResolve struct {
	ID     string `arg:"" help:"ID of the task."`
	As     string `required:"" enum:"done,failed,requeue" help:"The decision: ${enum}."`
	Reason string `required:"" help:"Reason for the decision; stored with the task."`
	NotRun bool   `help:"Confirm that the task has not run; required to requeue a task that isn't idempotent."`
}

// Help gives examples.
func (*taskResolve) Help() string {
	return `Examples:
  beryllatch task resolve 01a23fbd-60e9-7ddf-979e-ae45bba60170 --as=done --reason="the courier has the order"
  beryllatch task resolve 01a23fbd-60e9-7ddf-979e-ae45bba60170 --as=requeue --not-run --reason="w1 lost power before it started"
A task that its worker reports as running is not requeued. A task that isn't idempotent is also not requeued if its worker reports that it was started.`
}

// Run sends the decision and repeats it while its outcome is unknown.
func (cmd *taskResolve) Run(s *session) error {
	q := &berylwire.ResolveTaskRequest{
		OperationId: s.printOperationID(s.settings.OperationID), Id: cmd.ID, As: cmd.As, Reason: cmd.Reason, NotRun: cmd.NotRun,
	}
	var task *berylwire.GetTaskResponse
	reply, err := s.callWithRetries(func(c berylwire.Operator) (*berylwire.ApplyResponse, error) {
		r, err := c.ResolveTask(s.ctx, q)
		if err != nil {
			return nil, err
		}
		task = r.GetTask()
		out := &berylwire.ApplyResponse{Outcome: r.GetOutcome(), Reason: r.GetReason()}
		if r.GetSettled() {
			out.Version = 1 // Any version above 0 makes a refusal final.
		}
		return out, nil
	})
	if err != nil {
		return err
	}
	if err := s.printResolution(q.GetOperationId(), reply, task); err != nil {
		return err
	}
	return outcomeError(q.GetOperationId(), reply)
}

// resolution is the printed outcome of a decision.
type resolution struct {
	OperationID string      `json:"operation_id"`
	Outcome     string      `json:"outcome"`
	Reason      string      `json:"reason,omitempty"`
	Task        *taskStatus `json:"task,omitempty"`
}

func (s *session) printResolution(id string, r *berylwire.ApplyResponse, t *berylwire.GetTaskResponse) error {
	out := resolution{OperationID: id, Outcome: r.GetOutcome(), Reason: r.GetReason()}
	accepted := out.Outcome == string(berylreducer.OutcomeAccepted)
	if accepted {
		v := newTaskStatus(t)
		out.Task = &v
	}
	switch {
	case s.settings.Output == "json":
		return s.printJSON(out)
	case !accepted:
		return nil
	}
	_, err := fmt.Fprintf(s.stdout, "accepted, the task is %s\n", out.Task.State)
	return err
}
