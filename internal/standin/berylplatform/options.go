package berylplatform

import "time"

// Option changes a setting of a Platform.
type Option func(*settings)

type settings struct {
	writeRate      int
	readRate       int
	seed           uint64
	healthInterval time.Duration
}

// WithRates sets the table's limits in items written and items read per second; the defaults are 300 and 2000.
func WithRates(writes, reads int) Option {
	return func(s *settings) { s.writeRate, s.readRate = writes, reads }
}

// WithSeed sets the seed of the random choice of writes whose answers are lost under answer_lost_share; the default is 1.
func WithSeed(n uint64) Option { return func(s *settings) { s.seed = n } }

// WithHealthInterval sets how often the balancer polls the readiness of the entry daemons; the default is 250 ms.
func WithHealthInterval(d time.Duration) Option { return func(s *settings) { s.healthInterval = d } }

func defaults() settings {
	return settings{writeRate: 300, readRate: 2000, seed: 1, healthInterval: 250 * time.Millisecond}
}
