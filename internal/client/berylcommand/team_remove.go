package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// teamRemove removes a team that has no queues and no keys except withdrawn ones.
type teamRemove struct {
	Name string `arg:"" help:"Name of the team."`
}

// Run sends the change.
func (cmd *teamRemove) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_RemoveTeam{RemoveTeam: cmd.Name}})
}
