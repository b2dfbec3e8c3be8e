package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// teamList lists the teams.
type teamList struct{}

// Run prints a line for each team.
func (*teamList) Run(s *session) error {
	return listEntries(
		s, []string{"name", "weight", "ceiling"},
		func(c beryllatch.Config) map[string]beryllatch.Team { return c.Teams },
		func(t beryllatch.Team) []any { return []any{t.Name, t.Weight, t.Ceiling} },
	)
}
