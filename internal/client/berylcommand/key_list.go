package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// keyList lists the keys.
type keyList struct{}

// Run prints a line for each.
func (*keyList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"id", "team", "withdrawn"}}
	for _, k := range beryllatch.SortedKeys(c.APIKeys) {
		t := c.APIKeys[k]
		out.add(t, t.ID, t.Team, t.Withdrawn)
	}
	return s.printTable(out)
}
