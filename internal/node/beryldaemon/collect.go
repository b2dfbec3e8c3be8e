package beryldaemon

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// restPercent keeps a daemon without requests below its limit of 32 MB; workPercent, Go's own value, takes 2 MB more
	// there. A collection takes about 10 ms of processor time, every 3 s at rest instead of every 6 s. With requests the
	// lower value would collect 1.7 times as often.
	restPercent = 60
	workPercent = 100
	// restRate is the number of requests a second below which a daemon counts as at rest.
	restRate     = 10
	restInterval = time.Second
)

// collector fits the garbage collection to the requests; its zero value works.
type collector struct {
	arrived atomic.Int64
	percent int
	set     func(percent int) int
}

// start leaves a GOGC of the environment alone.
func (c *collector) start(ctx context.Context, d *Daemon) {
	if _, set := os.LookupEnv("GOGC"); set {
		return
	}
	c.set = debug.SetGCPercent
	d.every(ctx, restInterval, func(context.Context) { c.fit() })
}

// fit judges the requests since the last call; a change stops the program for a moment, so that it is made only once.
func (c *collector) fit() {
	percent := restPercent
	if c.arrived.Swap(0) >= restRate {
		percent = workPercent
	}
	if percent != c.percent {
		c.percent = percent
		c.set(percent)
	}
}
