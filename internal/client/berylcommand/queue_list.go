package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// queueList lists the queues.
type queueList struct{}

// Run prints a line for each.
func (*queueList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{head: []string{"name", "pool", "team", "open", "deadline_ms", "max_queued"}}
	for _, k := range beryllatch.SortedKeys(c.Queues) {
		t := c.Queues[k]
		out.add(t, t.Name, t.Pool, t.Team, t.Open, t.DeadlineMS, t.MaxQueued)
	}
	return s.printTable(out)
}
