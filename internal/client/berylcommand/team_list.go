package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// teamList lists the teams.
type teamList struct{}

// Run prints a line for each.
func (*teamList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"name", "weight", "ceiling"}}
	for _, k := range beryllatch.SortedKeys(c.Teams) {
		t := c.Teams[k]
		out.add(t, t.Name, t.Weight, t.Ceiling)
	}
	return s.printTable(out)
}
