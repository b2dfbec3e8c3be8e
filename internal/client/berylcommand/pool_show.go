package berylcommand

import "github.com/beryllatch/beryllatch"

// poolShow shows one pool.
type poolShow struct {
	Name string `arg:"" help:"Name of the pool."`
}

// Run prints the fields of the pool.
func (cmd *poolShow) Run(s *session) error {
	return showEntry(s, "pool", cmd.Name, func(c beryllatch.Config) map[string]beryllatch.Pool { return c.Pools })
}
