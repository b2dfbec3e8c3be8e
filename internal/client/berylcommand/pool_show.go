package berylcommand

// poolShow shows one pool.
type poolShow struct {
	Name string `arg:"" help:"Name of the pool."`
}

// Run prints the fields.
func (cmd *poolShow) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	t, err := find("pool", cmd.Name, c.Pools)
	if err != nil {
		return err
	}
	return s.printFields(t)
}
