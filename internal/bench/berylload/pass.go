package berylload

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The range of the latency histograms, in nanoseconds, and their number of significant digits.
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 3
)

// call sends one request on the connection with the number conn and returns an error unless it gets a complete answer.
type call func(ctx context.Context, conn int) error

// passResult holds the figures of one pass.
type passResult struct {
	latency *hdrhistogram.Histogram
	// count is the number of answered calls, and failed that of the others.
	count   int64
	failed  int64
	lastErr error
	elapsed time.Duration
	// ownCPU is the processor time that this process has used during the pass.
	ownCPU time.Duration
}

// rate returns the number of answered calls per second.
func (r passResult) rate() float64 { return float64(r.count) / r.elapsed.Seconds() }

// pass makes one call after another on each connection for the duration. Calls that have begun by then are completed.
func pass(ctx context.Context, conns int, d time.Duration, c call) passResult {
	ctx, cancel := context.WithTimeout(ctx, d+time.Minute)
	defer cancel()
	out := passResult{latency: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
	var mu sync.Mutex
	var senders sync.WaitGroup
	start, cpuBefore := time.Now(), ownCPU()
	end := start.Add(d)
	for n := range conns {
		senders.Go(func() {
			result := sendUntil(ctx, n, end, c)
			mu.Lock()
			defer mu.Unlock()
			out.add(result)
		})
	}
	senders.Wait()
	out.elapsed, out.ownCPU = time.Since(start), ownCPU()-cpuBefore
	return out
}

// sendUntil makes one call after another on a connection until the time end.
func sendUntil(ctx context.Context, conn int, end time.Time, c call) passResult {
	r := passResult{latency: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
	for sentAt := time.Now(); sentAt.Before(end) && ctx.Err() == nil; sentAt = time.Now() {
		if err := c(ctx, conn); err != nil {
			r.failed++
			r.lastErr = err
			continue
		}
		r.count++
		// A latency above maxLatency is not recorded. Such a call usually fails instead, since the context ends a minute
		// after the pass.
		_ = r.latency.RecordValue(time.Since(sentAt).Nanoseconds())
	}
	return r
}

func (r *passResult) add(other passResult) {
	r.latency.Merge(other.latency)
	r.count += other.count
	r.failed += other.failed
	if other.lastErr != nil {
		r.lastErr = other.lastErr
	}
}

// ownCPU returns the processor time that this process has used so far.
func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
