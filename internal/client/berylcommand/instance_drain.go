package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceDrain takes an instance out of service if the disruption budget of its service allows it.
type instanceDrain struct {
	ID string `arg:"" help:"ID of the instance."`
}

// Help gives an example.
func (*instanceDrain) Help() string { return "Example:\n  beryllatch instance drain w1" }

// Run sends the change.
func (cmd *instanceDrain) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_DrainInstance{DrainInstance: cmd.ID}})
}
