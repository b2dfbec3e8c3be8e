package berylupstream

import "time"

// Option changes a setting of a Worker.
type Option func(*settings)

type settings struct {
	name        string
	slots       int
	connections int
	runTime     time.Duration
	rebootTime  time.Duration
	seed        uint64
}

// WithName sets the name of the worker in its record; the default is worker.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithSlots sets how many executions and tasks may run at a time; the default is 8.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithConnections sets how many connections may be open before starts are refused; the default is 64.
func WithConnections(n int) Option { return func(s *settings) { s.connections = n } }

// WithRun sets the run time of work that has none in its header or payload; the default is 50 ms.
func WithRun(d time.Duration) Option { return func(s *settings) { s.runTime = d } }

// WithReboot sets how long a reboot takes; the default is 2 s.
func WithReboot(d time.Duration) Option { return func(s *settings) { s.rebootTime = d } }

// WithSeed sets the seed of the random choice of calls under a fault with a share; the default is 1.
func WithSeed(n uint64) Option { return func(s *settings) { s.seed = n } }

func defaults() settings {
	return settings{
		name: "worker", slots: 8, connections: 64, runTime: 50 * time.Millisecond, rebootTime: 2 * time.Second, seed: 1,
	}
}
