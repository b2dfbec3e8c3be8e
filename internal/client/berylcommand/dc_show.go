package berylcommand

// dataCentreShow shows one data centre.
type dataCentreShow struct {
	Name string `arg:"" help:"Name of the data centre."`
}

// Run prints the fields.
func (cmd *dataCentreShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("data centre", cmd.Name, c.DataCentres)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
