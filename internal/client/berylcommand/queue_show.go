package berylcommand

import "github.com/beryllatch/beryllatch"

// queueShow shows one queue.
type queueShow struct {
	Name string `arg:"" help:"Name of the queue."`
}

// Run prints the fields of the queue.
func (cmd *queueShow) Run(s *session) error {
	return showEntry(s, "queue", cmd.Name, func(c beryllatch.Config) map[string]beryllatch.Queue { return c.Queues })
}
