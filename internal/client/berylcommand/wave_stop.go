package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// waveStop ends a wave; its draining instances return at once.
type waveStop struct {
	ID string `arg:"" help:"ID of the wave."`
}

// Run sends the change.
func (cmd *waveStop) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_StopWave{StopWave: cmd.ID}})
}
