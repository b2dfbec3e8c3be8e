package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// keyList lists the keys.
type keyList struct{}

// Run prints a line for each key.
func (*keyList) Run(s *session) error {
	return listEntries(
		s, []string{"id", "team", "withdrawn"},
		func(c beryllatch.Config) map[string]beryllatch.APIKey { return c.APIKeys },
		func(t beryllatch.APIKey) []any { return []any{t.ID, t.Team, t.Withdrawn} },
	)
}
