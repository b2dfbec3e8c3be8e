package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// poolList lists the pools.
type poolList struct{}

// Run prints a line for each.
func (*poolList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"name", "service", "spare", "min_size", "standing_loan"}}
	for _, k := range beryllatch.SortedKeys(c.Pools) {
		t := c.Pools[k]
		out.add(t, t.Name, t.Service, t.Spare, t.MinSize, t.StandingLoan)
	}
	return s.printTable(out)
}
