package berylmetrics

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// histogramReservoir is the number of samples kept per histogram.
const histogramReservoir = 1028

// Registry holds the metrics of a process; New makes one.
type Registry struct{ r metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{r: metrics.NewRegistry()} }

// Count adds n to the named counter.
func (m *Registry) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.r).Inc(n)
}

// Gauge sets the named gauge.
func (m *Registry) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.r).Update(v)
}

// Observe adds a duration, in microseconds, to the named histogram.
func (m *Registry) Observe(name string, d time.Duration) {
	h := m.r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramReservoir, 0.015))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Counter returns the value of the named counter, 0 if it was never counted.
func (m *Registry) Counter(name string) int64 {
	if c, ok := m.r.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// ServeHTTP writes every metric as JSON.
func (m *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.r, w)
}
