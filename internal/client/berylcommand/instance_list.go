package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// instanceList lists the instances.
type instanceList struct{}

// Run prints a line for each.
func (*instanceList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"id", "pool", "data_centre", "rack", "address", "slots", "state", "move_to", "home"}}
	for _, k := range beryllatch.SortedKeys(c.Instances) {
		t := c.Instances[k]
		out.add(t, t.ID, t.Pool, t.DataCentre, t.Rack, t.Address, t.Slots, string(t.State), t.MoveTo, t.Home)
	}
	return s.printTable(out)
}
