package berylcommand

// queueShow shows one queue.
type queueShow struct {
	Name string `arg:"" help:"Name of the queue."`
}

// Run prints the fields.
func (cmd *queueShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("queue", cmd.Name, c.Queues)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
