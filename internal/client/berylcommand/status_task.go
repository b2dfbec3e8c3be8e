package berylcommand

import (
	"context"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// statusTask shows one task.
type statusTask struct {
	ID string `arg:"" help:"ID of the task."`
}

// taskStatus is the printed state of a task.
type taskStatus struct {
	ID       string `json:"id"`
	Team     string `json:"team"`
	Queue    string `json:"queue"`
	State    string `json:"state"`
	Attempt  int32  `json:"attempt"`
	Instance string `json:"instance,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Run prints the fields of the task.
func (cmd *statusTask) Run(s *session) error {
	t, err := read(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetTaskResponse, error) {
		return o.GetTask(ctx, &berylwire.GetTaskRequest{Id: cmd.ID})
	})
	if err != nil {
		return err
	}
	return s.printFields(taskStatus{
		ID: t.GetId(), Team: t.GetTeam(), Queue: t.GetQueue(), State: t.GetState(), Attempt: t.GetAttempt(),
		Instance: t.GetInstance(), Reason: t.GetReason(),
	})
}
