package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// queueCreate creates a queue.
type queueCreate struct {
	Name       string `arg:"" help:"Name of the queue."`
	Pool       string `required:"" help:"Pool that runs the work."`
	Team       string `help:"The only team that may use the queue; if empty, every team may."`
	Open       bool   `help:"Accept work without a key."`
	DeadlineMS int32  `name:"deadline-ms" help:"Default deadline in milliseconds; 0 means the default of the node."`
	MaxQueued  int32  `help:"Largest number of requests that wait at one node; 0 means the default of the node."`
}

// Help gives an example.
func (*queueCreate) Help() string {
	return "Example:\n  beryllatch queue create lacing-plans --pool=lacing --deadline-ms=3000"
}

// Run sends the change.
func (cmd *queueCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutQueue{PutQueue: &berylwire.Queue{
		Name: cmd.Name, Pool: cmd.Pool, Team: cmd.Team, Open: cmd.Open,
		DeadlineMs: cmd.DeadlineMS, MaxQueued: cmd.MaxQueued,
	}}, CreateOnly: true})
}
