package berylreducer

import "time"

// Instant is a moment in time by both clocks of a node.
type Instant struct {
	// Mono is the monotonic time since the process started. Tenures and time-outs use it.
	Mono time.Duration
	// Wall is the wall-clock time. It is used only for limits that another machine checks.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall.Add(d)}
}
