package berylload

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/rotisserie/eris"
)

const (
	// maxConns is the largest number of connections of a pass.
	maxConns = 64
	// requestWorkers is the number of workers. With 8 slots each, they have twice the slots that maxConns needs.
	requestWorkers = 16
	// warmUp is the time under load before a measurement starts.
	warmUp = 2 * time.Second
)

// Requests measures the latency and throughput of requests through a daemon and of requests sent directly to the
// workers; the difference is what the daemon adds.
type Requests struct {
	Bin      string
	Dir      string
	Duration time.Duration
	Repeats  int
	Conns    []int
	Out      io.Writer
}

// requestFigures holds the figures of one pass. p50 and p99 are latencies in µs, rate is in requests per second, and
// perCore in requests per second of the daemon's processor time, or 0 without a daemon. loadCPUPerCall is the processor
// time of this process for each answered call, in µs.
type requestFigures struct {
	p50, p99, rate, perCore, loadCPUPerCall, failed float64
}

// Run starts the fleet, measures and prints the medians over the passes.
func (m Requests) Run(ctx context.Context) error {
	f, err := startFleet(ctx, m.Bin, m.Dir, fleetSpec{
		daemons: 1, workers: requestWorkers, teams: 1, pools: 1, ceiling: 1024,
	})
	defer f.stop()
	if err != nil {
		return err
	}
	toWorkers, toDaemon := directCall(f.addresses), daemonCall(f.Daemons[0].Callers)
	_ = pass(ctx, maxConns, warmUp, toWorkers)
	if r := pass(ctx, maxConns, warmUp, toDaemon); r.count == 0 {
		return eris.Wrap(r.lastErr, "no request was answered")
	}
	_, _ = fmt.Fprintf(m.Out, "requests: %d B body, no run time, medians of %d passes of %v\n", bodySize, m.Repeats, m.Duration)
	_, _ = fmt.Fprintf(m.Out, "%5s %-8s %9s %9s %10s %20s %16s %7s\n",
		"conns", "path", "p50 µs", "p99 µs", "requests/s", "requests/daemon core", "load CPU µs/req", "failed")
	for _, n := range m.Conns {
		if err := m.measure(ctx, f, n, toWorkers, toDaemon); err != nil {
			return err
		}
	}
	return nil
}

func (m Requests) measure(ctx context.Context, f *fleet, conns int, toWorkers, toDaemon call) error {
	var viaWorkers, viaDaemon []requestFigures
	for range m.Repeats {
		figures, err := measurePass(ctx, conns, m.Duration, toWorkers, nil)
		if err != nil {
			return err
		}
		viaWorkers = append(viaWorkers, figures)
		if figures, err = measurePass(ctx, conns, m.Duration, toDaemon, f.Daemons[0].Process); err != nil {
			return err
		}
		viaDaemon = append(viaDaemon, figures)
	}
	direct, daemon := medians(viaWorkers), medians(viaDaemon)
	m.print(conns, "direct", direct)
	m.print(conns, "daemon", daemon)
	_, err := fmt.Fprintf(m.Out, "%5d %-8s %9.0f %9.0f\n", conns, "added", daemon.p50-direct.p50, daemon.p99-direct.p99)
	return err
}

func (m Requests) print(conns int, path string, r requestFigures) {
	perCore := "-"
	if r.perCore > 0 {
		perCore = fmt.Sprintf("%.0f", r.perCore)
	}
	_, _ = fmt.Fprintf(m.Out, "%5d %-8s %9.0f %9.0f %10.0f %20s %16.0f %7.0f\n",
		conns, path, r.p50, r.p99, r.rate, perCore, r.loadCPUPerCall, r.failed)
}

// measurePass makes one pass. p is the daemon whose processor time perCore is computed from, or nil for none.
func measurePass(
	ctx context.Context, conns int, d time.Duration, c call, p *berylprocess.Process,
) (requestFigures, error) {
	before, err := usageOf(p)
	if err != nil {
		return requestFigures{}, err
	}
	r := pass(ctx, conns, d, c)
	after, err := usageOf(p)
	if err != nil {
		return requestFigures{}, err
	}
	if r.count == 0 {
		return requestFigures{}, eris.Wrap(r.lastErr, "no request was answered")
	}
	out := requestFigures{
		p50: micros(r.latency.ValueAtQuantile(50)), p99: micros(r.latency.ValueAtQuantile(99)), rate: r.rate(),
		loadCPUPerCall: micros(r.ownCPU.Nanoseconds()) / float64(r.count), failed: float64(r.failed),
	}
	if cpu := after.CPU - before.CPU; cpu > 0 {
		out.perCore = float64(r.count) / cpu.Seconds()
	}
	return out, nil
}

// usageOf returns what the process has used so far, or nothing for nil.
func usageOf(p *berylprocess.Process) (berylprocess.Usage, error) {
	if p == nil {
		return berylprocess.Usage{}, nil
	}
	return p.Usage()
}

func micros(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }
