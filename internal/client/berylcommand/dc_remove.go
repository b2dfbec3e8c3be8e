package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// dataCentreRemove removes a data centre without instances.
type dataCentreRemove struct {
	Name string `arg:"" help:"Name of the data centre."`
}

// Run sends the change.
func (cmd *dataCentreRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemoveDataCentre{RemoveDataCentre: cmd.Name}})
}
