package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// poolRemove removes a pool without queues and instances.
type poolRemove struct {
	Name string `arg:"" help:"Name of the pool."`
}

// Run sends the change.
func (cmd *poolRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemovePool{RemovePool: cmd.Name}})
}
