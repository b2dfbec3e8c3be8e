package berylcommand

import (
	"github.com/beryllatch/beryllatch"
)

// queueList lists the queues.
type queueList struct{}

// Run prints a line for each queue.
func (*queueList) Run(s *session) error {
	return listEntries(
		s, []string{"name", "pool", "team", "open", "deadline_ms", "max_queued"},
		func(c beryllatch.Config) map[string]beryllatch.Queue { return c.Queues },
		func(t beryllatch.Queue) []any {
			return []any{t.Name, t.Pool, t.Team, t.Open, t.DeadlineMS, t.MaxQueued}
		},
	)
}
