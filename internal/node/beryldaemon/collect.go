package beryldaemon

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// idleGCPercent is the GOGC value of an idle daemon. It keeps the daemon below its memory limit
	// of 32 MB; Go's default would take 2 MB more. The price is a collection, of about 10 ms of processor time, every
	// 3 s instead of every 6 s.
	idleGCPercent = 60
	// busyGCPercent is the GOGC value under requests, which is Go's default. The lower value would then collect 1.7
	// times as often.
	busyGCPercent = 100
	// idleRequestRate is the number of requests a second below which a daemon counts as idle.
	idleRequestRate = 10
	// adjustInterval is the period over which requests are counted; at one second the count is a rate.
	adjustInterval = time.Second
)

// gcTuner sets the GOGC value by the rate of requests; its zero value works.
type gcTuner struct {
	// requests counts the requests since the last adjustment.
	requests   atomic.Int64
	percent    int
	setPercent func(percent int) int
}

// start adjusts the GOGC value every adjustInterval, unless the environment sets GOGC.
func (c *gcTuner) start(ctx context.Context, d *Daemon) {
	if _, set := os.LookupEnv("GOGC"); set {
		return
	}
	c.setPercent = debug.SetGCPercent
	d.every(ctx, adjustInterval, func(context.Context) { c.adjust() })
}

// adjust chooses the GOGC value by the number of requests since the last call. It sets the value only when it differs
// from the current one, since setting it stops all goroutines for a moment.
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
