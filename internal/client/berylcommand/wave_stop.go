package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// waveStop ends a wave. Its draining instances return to service at once, rebooting ones after their reboot.
type waveStop struct {
	ID string `arg:"" help:"ID of the wave."`
}

// Run sends the change.
func (cmd *waveStop) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_StopWave{StopWave: cmd.ID}})
}
