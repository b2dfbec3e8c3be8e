package berylcommand

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// waveList lists the maintenance waves and their progress.
type waveList struct{}

// Run prints a line for each wave.
func (*waveList) Run(s *session) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out := table{header: []string{"id", "state", "done", "total", "left", "reason"}}
	for _, id := range beryllatch.SortedKeys(c.Waves) {
		p := berylplan.WaveProgress(c, c.Waves[id], berylplan.StepTime)
		out.add(p, id, string(p.State), p.Done, p.Total, p.Left.Round(time.Second).String(), p.Reason)
	}
	return s.printTable(out)
}
