package berylcommand

import (
	"context"
	"fmt"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// taskList lists the tasks that wait for an operator.
type taskList struct {
	State []string `enum:"parked,unknown" placeholder:"STATE" help:"States to list: ${enum}; both if empty."`
	After string   `placeholder:"ID" help:"List only tasks with greater ids."`
	Limit int32    `default:"100" help:"Largest number of tasks to list, at most 1000."`
}

// Help gives an example.
func (*taskList) Help() string {
	return "Example:\n  beryllatch task list --state=unknown --limit=20\nIf there may be more tasks, the flag for the next page is printed to the standard error."
}

// Run prints a line for each task of the page, and how to list the next page.
func (cmd *taskList) Run(s *session) error {
	page, err := query(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.ListTasksResponse, error) {
		return o.ListTasks(ctx, &berylwire.ListTasksRequest{States: cmd.State, After: cmd.After, Limit: cmd.Limit})
	})
	if err != nil {
		return err
	}
	out := table{header: []string{"id", "team", "queue", "state", "instance", "reason", "finished"}}
	for _, t := range page.GetTasks() {
		v := newTaskStatus(t)
		out.add(v, v.ID, v.Team, v.Queue, v.State, v.Instance, v.Reason, v.Finished)
	}
	if err := s.printTable(out); err != nil {
		return err
	}
	if page.GetNext() != "" {
		_, _ = fmt.Fprintf(s.stderr, "there may be more: --after=%s\n", page.GetNext())
	}
	return nil
}
