package berylload

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The range and precision of the latency histograms, in nanoseconds.
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 3
)

// call sends one request on one of the connections and returns an error unless it was answered whole.
type call func(ctx context.Context, conn int) error

// passResult is the outcome of one pass of a closed loop.
type passResult struct {
	latency *hdrhistogram.Histogram
	count   int64
	failed  int64
	lastErr error
	elapsed time.Duration
	// ownCPU is the processor time of the load program itself.
	ownCPU time.Duration
}

func (r passResult) rate() float64 { return float64(r.count) / r.elapsed.Seconds() }

// pass keeps one call in flight on each connection for the duration.
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

func sendUntil(ctx context.Context, conn int, end time.Time, c call) passResult {
	r := passResult{latency: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
	for sentAt := time.Now(); sentAt.Before(end) && ctx.Err() == nil; sentAt = time.Now() {
		if err := c(ctx, conn); err != nil {
			r.failed++
			r.lastErr = err
			continue
		}
		r.count++
		// A latency beyond the range fails the call by its timeout first.
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

func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
