package berylcommand

// keyShow shows one key.
type keyShow struct {
	ID string `arg:"" help:"ID of the key."`
}

// Run prints the fields.
func (cmd *keyShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("key", cmd.ID, c.APIKeys)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
