package berylmetrics

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// The size and the decay factor of a histogram's sample, with the values of the metrics library's examples.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Registry holds the metrics of a process; New creates one.
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

// Counter returns the value of the named counter, or 0 if Count was never called for it.
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

// Time adds a duration to the named latency histogram, in microseconds.
func (m *Registry) Time(name string, d time.Duration) {
	h := m.r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}
