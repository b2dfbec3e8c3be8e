package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// poolChange changes the given fields of a pool.
type poolChange struct {
	Name         string  `arg:"" help:"Name of the pool."`
	Service      *string `help:"Service whose disruption budget applies to the pool."`
	Spare        *bool   `negatable:"" help:"Whether the pool is a spare pool, which lends instances to the other pools."`
	MinSize      *int32  `help:"Number of instances that moves must leave in the pool."`
	StandingLoan *int32  `help:"Number of instances on loan from spare pools that serve the pool permanently, whatever its demand."`
}

// Help gives an example.
func (*poolChange) Help() string { return "Example:\n  beryllatch pool change lacing --min-size=6" }

// Run sends the change.
func (cmd *poolChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangePool{ChangePool: &berylwire.ChangePool{
		Name: cmd.Name, Service: cmd.Service, Spare: cmd.Spare, MinSize: cmd.MinSize, StandingLoan: cmd.StandingLoan,
	}}})
}
