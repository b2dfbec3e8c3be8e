package berylcommand

import "github.com/beryllatch/beryllatch"

// dataCentreShow shows one data centre.
type dataCentreShow struct {
	Name string `arg:"" help:"Name of the data centre."`
}

// Run prints the fields of the data centre.
func (cmd *dataCentreShow) Run(s *session) error {
	return showEntry(s, "data centre", cmd.Name, func(c beryllatch.Config) map[string]beryllatch.DataCentre { return c.DataCentres })
}
