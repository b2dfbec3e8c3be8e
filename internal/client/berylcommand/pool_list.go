package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// poolList lists the pools.
type poolList struct{}

// Run prints a line for each pool.
func (*poolList) Run(s *session) error {
	return listEntries(
		s, []string{"name", "service", "spare", "min_size", "standing_loan"},
		func(c beryllatch.Config) map[string]beryllatch.Pool { return c.Pools },
		func(t beryllatch.Pool) []any { return []any{t.Name, t.Service, t.Spare, t.MinSize, t.StandingLoan} },
	)
}
