package beryldaemon

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// idleGCPercent keeps a daemon without requests below its limit of 32 MB; workPercent, Go's own value, takes 2 MB more
	// there. A collection takes about 10 ms of processor time, every 3 s at rest instead of every 6 s. With requests the
	// lower value would collect 1.7 times as often.
	idleGCPercent = 60
	busyGCPercent = 100
	// idleRequestRate is the number of requests a second below which a daemon counts as at rest.
	idleRequestRate = 10
	adjustInterval  = time.Second
)

// gcTuner fits the garbage collection to the requests; its zero value works.
type gcTuner struct {
	requests   atomic.Int64
	percent    int
	setPercent func(percent int) int
}

// start leaves a GOGC of the environment alone.
func (c *gcTuner) start(ctx context.Context, d *Daemon) {
	if _, set := os.LookupEnv("GOGC"); set {
		return
	}
	c.setPercent = debug.SetGCPercent
	d.every(ctx, adjustInterval, func(context.Context) { c.adjust() })
}

// adjust judges the requests since the last call; a change stops the program for a moment, so that it is made only once.
func (c *gcTuner) adjust() {
	percent := idleGCPercent
	if c.requests.Swap(0) >= idleRequestRate {
		percent = busyGCPercent
	}
	if percent != c.percent {
		c.percent = percent
		c.setPercent(percent)
	}
}
