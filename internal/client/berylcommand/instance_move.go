package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceMove drains an instance and moves it to another pool.
type instanceMove struct {
	ID   string `arg:"" help:"ID of the instance."`
	Pool string `arg:"" help:"Pool that the instance joins."`
}

// Help gives an example.
func (*instanceMove) Help() string { return "Example:\n  beryllatch instance move w1 lacing" }

// Run sends the change.
func (cmd *instanceMove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_MoveInstance{MoveInstance: &berylwire.Move{
		Instance: cmd.ID, Pool: cmd.Pool,
	}}})
}
