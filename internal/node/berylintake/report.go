package berylintake

import (
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/phuslu/log"
)

// reportInterval is how often refusals are counted and logged.
const reportInterval = time.Second

// Report publishes what callers use and how many of their requests were refused, until done is closed. It logs at most one line for
// each kind of refusal and reportInterval.
func (in *Intake) Report(done <-chan struct{}, m *berylmetrics.Registry, l *log.Logger) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			in.report(m, l)
		}
	}
}

func (in *Intake) report(m *berylmetrics.Registry, l *log.Logger) {
	bytes, connections := in.Usage()
	m.Gauge("intake.bytes", bytes)
	m.Gauge("intake.connections", int64(connections))
	for kind, n := range in.takeRefused() {
		m.Count("intake.refused."+string(kind), n)
		l.Warn().Str("kind", string(kind)).Int64("count", n).Int64("bytes", bytes).Int("connections", connections).Msg("intake_refused")
	}
}
