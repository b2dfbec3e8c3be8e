package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceReturn puts a draining instance back into service.
type instanceReturn struct {
	ID string `arg:"" help:"ID of the instance."`
}

// Help gives an example.
func (*instanceReturn) Help() string { return "Example:\n  beryllatch instance return w1" }

// Run sends the change.
func (cmd *instanceReturn) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ReturnInstance{ReturnInstance: cmd.ID}})
}
