package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// dataCentreList lists the data centres.
type dataCentreList struct{}

// Run prints a line for each.
func (*dataCentreList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"name", "region", "out"}}
	for _, k := range beryllatch.SortedKeys(c.DataCentres) {
		t := c.DataCentres[k]
		out.add(t, t.Name, t.Region, t.Out)
	}
	return s.printTable(out)
}
