package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// wavePause lets the steps under way finish and starts no others.
type wavePause struct {
	ID string `arg:"" help:"ID of the wave."`
}

// Run sends the change.
func (cmd *wavePause) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PauseWave{PauseWave: cmd.ID}})
}
