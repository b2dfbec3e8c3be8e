package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// serviceList lists the services.
type serviceList struct{}

// Run prints a line for each.
func (*serviceList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"name", "max_unavailable"}}
	for _, k := range beryllatch.SortedKeys(c.Services) {
		t := c.Services[k]
		out.add(t, t.Name, t.MaxUnavailable)
	}
	return s.printTable(out)
}
