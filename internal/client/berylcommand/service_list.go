package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// serviceList lists the services.
type serviceList struct{}

// Run prints a line for each service.
func (*serviceList) Run(s *session) error {
	return listEntries(
		s, []string{"name", "max_unavailable"},
		func(c beryllatch.Config) map[string]beryllatch.Service { return c.Services },
		func(t beryllatch.Service) []any { return []any{t.Name, t.MaxUnavailable} },
	)
}
