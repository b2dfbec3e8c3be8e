package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// serviceChange changes the given fields of a service.
type serviceChange struct {
	Name           string `arg:"" help:"Name of the service."`
	MaxUnavailable *int32 `help:"Instances that may be out of service at the same time."`
}

// Help gives an example.
func (*serviceChange) Help() string {
	return "Example:\n  beryllatch service change lacing --max-unavailable=3"
}

// Run sends the change.
func (cmd *serviceChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangeService{ChangeService: &berylwire.ChangeService{
		Name: cmd.Name, MaxUnavailable: cmd.MaxUnavailable,
	}}})
}
