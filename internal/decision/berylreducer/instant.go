package berylreducer

import "time"

// Instant is one moment on both clocks of a node.
type Instant struct {
	// Mono is the monotonic time since the process started; tenures and timeouts use it.
	Mono time.Duration
	// Wall is the wall-clock time; only limits that another machine checks use it.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall.Add(d)}
}
