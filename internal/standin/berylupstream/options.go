package berylupstream

import "time"

// Option changes a setting of a Worker.
type Option func(*settings)

type settings struct {
	name        string
	slots       int
	connections int
	run         time.Duration
	reboot      time.Duration
	seed        uint64
}

// WithName sets the name that the record gives for the worker; the default is worker.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithSlots sets how many executions and tasks run at a time; the default is 8.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithConnections sets how many connections may be open before starts are refused; the default is 64.
func WithConnections(n int) Option { return func(s *settings) { s.connections = n } }

// WithRun sets how long work runs that doesn't say so itself; the default is 50 ms.
func WithRun(d time.Duration) Option { return func(s *settings) { s.run = d } }

// WithReboot sets how long a reboot takes; the default is 2 s.
func WithReboot(d time.Duration) Option { return func(s *settings) { s.reboot = d } }

// WithSeed sets the seed that decides which calls a fault with a share hits; the default is 1.
func WithSeed(n uint64) Option { return func(s *settings) { s.seed = n } }

func defaults() settings {
	return settings{
		name: "worker", slots: 8, connections: 64, run: 50 * time.Millisecond, reboot: 2 * time.Second, seed: 1,
	}
}
