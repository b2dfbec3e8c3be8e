package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// wavePause pauses a wave: steps under way are completed and no further ones are started.
type wavePause struct {
	ID string `arg:"" help:"ID of the wave."`
}

// Run sends the change.
func (cmd *wavePause) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_PauseWave{PauseWave: cmd.ID}})
}
