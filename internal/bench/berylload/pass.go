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
	minLatency = int64(time.Microsecond)
	maxLatency = int64(time.Minute)
	precision  = 3
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
func pass(ctx context.Context, conns int, d time.Duration, f call) passResult {
	ctx, cancel := context.WithTimeout(ctx, d+time.Minute)
	defer cancel()
	out := passResult{latency: hdrhistogram.New(minLatency, maxLatency, precision)}
	var mu sync.Mutex
	var senders sync.WaitGroup
	start, own := time.Now(), ownCPU()
	end := start.Add(d)
	for n := range conns {
		senders.Go(func() {
			one := send(ctx, n, end, f)
			mu.Lock()
			defer mu.Unlock()
			out.add(one)
		})
	}
	senders.Wait()
	out.elapsed, out.ownCPU = time.Since(start), ownCPU()-own
	return out
}

func send(ctx context.Context, conn int, end time.Time, f call) passResult {
	r := passResult{latency: hdrhistogram.New(minLatency, maxLatency, precision)}
	for begun := time.Now(); begun.Before(end) && ctx.Err() == nil; begun = time.Now() {
		if err := f(ctx, conn); err != nil {
			r.failed++
			r.lastErr = err
			continue
		}
		r.count++
		// A latency beyond the range fails the call by its timeout first.
		_ = r.latency.RecordValue(time.Since(begun).Nanoseconds())
	}
	return r
}

func (r *passResult) add(o passResult) {
	r.latency.Merge(o.latency)
	r.count += o.count
	r.failed += o.failed
	if o.lastErr != nil {
		r.lastErr = o.lastErr
	}
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
