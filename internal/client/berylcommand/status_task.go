package berylcommand

// statusTask shows one task.
type statusTask struct {
	ID string `arg:"" help:"ID of the task."`
}

// Run prints the fields of the task and the decisions about it.
func (cmd *statusTask) Run(s *session) error { return s.showTask(cmd.ID) }
