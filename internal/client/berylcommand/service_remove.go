package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// serviceRemove removes a service without pools and waves.
type serviceRemove struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run sends the change.
func (cmd *serviceRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemoveService{RemoveService: cmd.Name}})
}
