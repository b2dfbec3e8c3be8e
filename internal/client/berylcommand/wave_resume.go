package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// waveResume continues a paused or stopped wave.
type waveResume struct {
	ID string `arg:"" help:"ID of the wave."`
}

// Run sends the change.
func (cmd *waveResume) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_ResumeWave{ResumeWave: cmd.ID}})
}
