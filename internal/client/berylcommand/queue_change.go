package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// queueChange changes the given fields of a queue.
type queueChange struct {
	Name       string  `arg:"" help:"Name of the queue."`
	Pool       *string `help:"Pool that runs the work."`
	Team       *string `help:"The only team that may use the queue; if empty, every team may."`
	Open       *bool   `negatable:"" help:"Accept work without a key."`
	DeadlineMS *int32  `name:"deadline-ms" help:"Default deadline in milliseconds; 0 means the default of the node."`
	MaxQueued  *int32  `help:"Largest number of requests that wait at one node; 0 means the default of the node."`
}

// Help gives an example.
func (*queueChange) Help() string {
	return "Example:\n  beryllatch queue change lacing-plans --max-queued=512"
}

// Run sends the change.
func (cmd *queueChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangeQueue{ChangeQueue: &berylwire.ChangeQueue{
		Name: cmd.Name, Pool: cmd.Pool, Team: cmd.Team, Open: cmd.Open,
		DeadlineMs: cmd.DeadlineMS, MaxQueued: cmd.MaxQueued,
	}}})
}
