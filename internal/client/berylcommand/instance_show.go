package berylcommand

import "github.com/beryllatch/beryllatch"

// instanceShow shows one instance.
type instanceShow struct {
	ID string `arg:"" help:"ID of the instance."`
}

// Run prints the fields of the instance.
func (cmd *instanceShow) Run(s *session) error {
	return showEntry(s, "instance", cmd.ID, func(c beryllatch.Config) map[string]beryllatch.Instance { return c.Instances })
}
