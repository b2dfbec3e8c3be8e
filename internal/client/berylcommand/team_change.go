package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// teamChange changes the given fields of a team.
type teamChange struct {
	Name    string `arg:"" help:"Name of the team."`
	Weight  *int32 `help:"Weight of the team in the division of a full fleet, relative to the other teams."`
	Ceiling *int32 `help:"Largest number of executions that the team may run at the same time in the whole fleet."`
}

// Help gives an example.
func (*teamChange) Help() string { return "Example:\n  beryllatch team change wheels --ceiling=60" }

// Run sends the change.
func (cmd *teamChange) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ChangeTeam{ChangeTeam: &berylwire.ChangeTeam{
		Name: cmd.Name, Weight: cmd.Weight, Ceiling: cmd.Ceiling,
	}}})
}
