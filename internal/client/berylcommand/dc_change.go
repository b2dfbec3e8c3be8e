package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// dataCentreChange changes the given fields of a data centre.
type dataCentreChange struct {
	Name   string  `arg:"" help:"Name of the data centre."`
	Region *string `help:"Region of the data centre."`
}

// Run sends the change.
func (cmd *dataCentreChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangeDataCentre{ChangeDataCentre: &berylwire.ChangeDataCentre{
		Name: cmd.Name, Region: cmd.Region,
	}}})
}
