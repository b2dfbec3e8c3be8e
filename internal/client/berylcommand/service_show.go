package berylcommand

import "github.com/beryllatch/beryllatch"

// serviceShow shows one service.
type serviceShow struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the fields of the service.
func (cmd *serviceShow) Run(s *session) error {
	return showEntry(s, "service", cmd.Name, func(c beryllatch.Config) map[string]beryllatch.Service { return c.Services })
}
