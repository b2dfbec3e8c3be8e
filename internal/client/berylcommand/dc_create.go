package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// dataCentreCreate creates a data centre.
type dataCentreCreate struct {
	Name   string `arg:"" help:"Name of the data centre."`
	Region string `help:"Region of the data centre."`
}

// Help gives an example.
func (*dataCentreCreate) Help() string {
	return "Example:\n  beryllatch dc create nairobi-1 --region=east-africa"
}

// Run sends the change.
func (cmd *dataCentreCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutDataCentre{PutDataCentre: &berylwire.DataCentre{
		Name: cmd.Name, Region: cmd.Region,
	}}, CreateOnly: true})
}
