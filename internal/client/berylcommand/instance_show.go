package berylcommand

// instanceShow shows one instance.
type instanceShow struct {
	ID string `arg:"" help:"ID of the instance."`
}

// Run prints the fields.
func (cmd *instanceShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("instance", cmd.ID, c.Instances)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
