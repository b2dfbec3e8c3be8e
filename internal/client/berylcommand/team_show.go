package berylcommand

// teamShow shows one team.
type teamShow struct {
	Name string `arg:"" help:"Name of the team."`
}

// Run prints the fields.
func (cmd *teamShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("team", cmd.Name, c.Teams)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
