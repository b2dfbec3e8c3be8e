package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// instanceList lists the instances.
type instanceList struct{}

// Run prints a line for each instance.
func (*instanceList) Run(s *session) error {
	return listEntries(
		s, []string{"id", "pool", "data_centre", "rack", "address", "slots", "state", "move_to", "home"},
		func(c beryllatch.Config) map[string]beryllatch.Instance { return c.Instances },
		func(t beryllatch.Instance) []any {
			return []any{t.ID, t.Pool, t.DataCentre, t.Rack, t.Address, t.Slots, string(t.State), t.MoveTo, t.Home}
		},
	)
}
