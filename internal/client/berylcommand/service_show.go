package berylcommand

// serviceShow shows one service.
type serviceShow struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the fields.
func (cmd *serviceShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("service", cmd.Name, c.Services)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
