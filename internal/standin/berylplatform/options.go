package berylplatform

import "time"

// Option changes a setting of a Platform.
type Option func(*settings)

type settings struct {
	writes int
	reads  int
	seed   uint64
	health time.Duration
}

// WithRates sets the table's limits in items written and items read per second; the defaults are 300 and 2000.
func WithRates(writes, reads int) Option {
	return func(s *settings) { s.writes, s.reads = writes, reads }
}

// WithSeed sets the seed that decides which calls a fault with a share hits; the default is 1.
func WithSeed(n uint64) Option { return func(s *settings) { s.seed = n } }

// WithHealthInterval sets how often the balancer asks the entry daemons whether they are ready; the default is 250 ms.
func WithHealthInterval(d time.Duration) Option { return func(s *settings) { s.health = d } }

func defaults() settings {
	return settings{writes: 300, reads: 2000, seed: 1, health: 250 * time.Millisecond}
}
