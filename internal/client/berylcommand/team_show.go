package berylcommand

import "github.com/beryllatch/beryllatch"

// teamShow shows one team.
type teamShow struct {
	Name string `arg:"" help:"Name of the team."`
}

// Run prints the fields of the team.
func (cmd *teamShow) Run(s *session) error {
	return showEntry(s, "team", cmd.Name, func(c beryllatch.Config) map[string]beryllatch.Team { return c.Teams })
}
