package berylcommand

import "github.com/beryllatch/beryllatch"

// keyShow shows one key.
type keyShow struct {
	ID string `arg:"" help:"ID of the key."`
}

// Run prints the fields of the key.
func (cmd *keyShow) Run(s *session) error {
	return showEntry(s, "key", cmd.ID, func(c beryllatch.Config) map[string]beryllatch.APIKey { return c.APIKeys })
}
