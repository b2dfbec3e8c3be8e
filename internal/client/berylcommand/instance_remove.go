package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// instanceRemove removes a drained instance.
type instanceRemove struct {
	ID string `arg:"" help:"ID of the instance."`
}

// Run sends the change.
func (cmd *instanceRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemoveInstance{RemoveInstance: cmd.ID}})
}
