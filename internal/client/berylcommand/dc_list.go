package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// dataCentreList lists the data centres.
type dataCentreList struct{}

// Run prints a line for each data centre.
func (*dataCentreList) Run(s *session) error {
	return listEntries(
		s, []string{"name", "region", "out"},
		func(c beryllatch.Config) map[string]beryllatch.DataCentre { return c.DataCentres },
		func(t beryllatch.DataCentre) []any { return []any{t.Name, t.Region, t.Out} },
	)
}
