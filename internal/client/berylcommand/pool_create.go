package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// poolCreate creates a pool.
type poolCreate struct {
	Name         string `arg:"" help:"Name of the pool."`
	Service      string `required:"" help:"Service whose disruption budget applies to the pool."`
	Spare        bool   `help:"Make it a spare pool, which lends instances to the other pools."`
	MinSize      int32  `help:"Number of instances that moves must leave in the pool."`
	StandingLoan int32  `help:"Number of instances on loan from spare pools that serve the pool permanently, whatever its demand."`
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
