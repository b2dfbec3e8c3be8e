package berylcommand

import (
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// waveStart starts a maintenance wave.
type waveStart struct {
	ID           string   `arg:"" help:"ID of the wave."`
	Services     []string `required:"" help:"Services to maintain."`
	MaxUnhealthy int32    `help:"Unhealthy instances above which the wave stops; 0 means 2 plus 1% of the instances."`
}

// Help gives an example.
func (*waveStart) Help() string {
	return "Example:\n  beryllatch wave start december --services=lacing,spokes"
}

// Run sends the change.
func (cmd *waveStart) Run(s *session) error {
	return s.change(&berylwire.Change{Change: &berylwire.Change_StartWave{StartWave: &berylwire.Wave{
		Id: cmd.ID, Services: cmd.Services, MaxUnhealthy: cmd.MaxUnhealthy,
	}}})
}
