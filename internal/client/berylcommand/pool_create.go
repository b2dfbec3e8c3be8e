package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// poolCreate creates a pool.
type poolCreate struct {
	Name         string `arg:"" help:"Name of the pool."`
	Service      string `required:"" help:"Service whose budget the pool is under."`
	Spare        bool   `help:"Lends instances to the other pools."`
	MinSize      int32  `help:"Instances that moves must leave in the pool."`
	StandingLoan int32  `help:"Spare instances that serve the pool at rest."`
}

// Help gives an example.
func (*poolCreate) Help() string { return "Example:\n  beryllatch pool create lacing --service=lacing" }

// Run sends the change.
func (cmd *poolCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutPool{PutPool: &berylwire.Pool{
		Name: cmd.Name, Service: cmd.Service, Spare: cmd.Spare, MinSize: cmd.MinSize,
		StandingLoan: cmd.StandingLoan,
	}}, CreateOnly: true})
}
