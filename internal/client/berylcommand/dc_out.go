package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// dataCentreOut takes a data centre out of service at once; no disruption budget can refuse it.
type dataCentreOut struct {
	Name string `arg:"" help:"Name of the data centre."`
}

// Help gives an example.
func (*dataCentreOut) Help() string { return "Example:\n  beryllatch dc out nairobi-1" }

// Run sends the change.
func (cmd *dataCentreOut) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_SetDataCentreOut{
		SetDataCentreOut: &berylwire.DataCentreOut{Name: cmd.Name, Out: true},
	}})
}
