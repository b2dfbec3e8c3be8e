package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// teamCreate creates a team.
type teamCreate struct {
	Name    string `arg:"" help:"Name of the team."`
	Weight  int32  `default:"1" help:"Weight of the team in the division of a full fleet, relative to the other teams."`
	Ceiling int32  `required:"" help:"Largest number of executions that the team may run at the same time in the whole fleet."`
}

// Help gives an example.
func (*teamCreate) Help() string {
	return "Example:\n  beryllatch team create wheels --weight=3 --ceiling=40"
}

// Run sends the change.
func (cmd *teamCreate) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PutTeam{PutTeam: &berylwire.Team{
		Name: cmd.Name, Weight: cmd.Weight, Ceiling: cmd.Ceiling,
	}}, CreateOnly: true})
}
