package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// serviceCreate creates a service.
type serviceCreate struct {
	Name           string `arg:"" help:"Name of the service."`
	MaxUnavailable int32  `required:"" help:"Instances that may be out of service at the same time."`
}

// Help gives an example.
func (*serviceCreate) Help() string {
	return "Example:\n  beryllatch service create lacing --max-unavailable=2"
}

// Run sends the change.
func (cmd *serviceCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutService{PutService: &berylwire.Service{
		Name: cmd.Name, MaxUnavailable: cmd.MaxUnavailable,
	}}, CreateOnly: true})
}
