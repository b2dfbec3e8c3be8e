package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// dataCentreIn brings a data centre back into service.
type dataCentreIn struct {
	Name string `arg:"" help:"Name of the data centre."`
}

// Help gives an example.
func (*dataCentreIn) Help() string { return "Example:\n  beryllatch dc in nairobi-1" }

// Run sends the change.
func (cmd *dataCentreIn) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_SetDataCentreOut{
		SetDataCentreOut: &berylwire.DataCentreOut{Name: cmd.Name, Out: false},
	}})
}
