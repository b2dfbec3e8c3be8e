package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// queueRemove removes a queue.
type queueRemove struct {
	Name string `arg:"" help:"Name of the queue."`
}

// Run sends the change.
func (cmd *queueRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemoveQueue{RemoveQueue: cmd.Name}})
}
