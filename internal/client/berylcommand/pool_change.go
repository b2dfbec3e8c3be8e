package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// poolChange changes the given fields of a pool.
type poolChange struct {
	Name         string  `arg:"" help:"Name of the pool."`
	Service      *string `help:"Service whose budget the pool is under."`
	Spare        *bool   `negatable:"" help:"Lends instances to the other pools."`
	MinSize      *int32  `help:"Instances that moves must leave in the pool."`
	StandingLoan *int32  `help:"Spare instances that serve the pool at rest."`
}

// Help gives an example.
func (*poolChange) Help() string { return "Example:\n  beryllatch pool change lacing --min-size=6" }

// Run sends the change.
func (cmd *poolChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangePool{ChangePool: &berylwire.ChangePool{
		Name: cmd.Name, Service: cmd.Service, Spare: cmd.Spare, MinSize: cmd.MinSize, StandingLoan: cmd.StandingLoan,
	}}})
}
