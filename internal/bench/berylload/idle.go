package berylload

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/rotisserie/eris"
)

// settleTime is the wait before the first window, in which the daemons adopt the configuration and poll the workers for
// the first time. A single daemon polls 150 workers in it, 10 per second.
const settleTime = 15 * time.Second

// Idle measures the processor time, memory and table calls of a daemon without requests.
type Idle struct {
	// Bin is the directory of the built programs, and Dir that of the logs; the same holds for the other measurements.
	Bin string
	Dir string
	// Duration is the length of a window, and Repeats the number of windows.
	Duration time.Duration
	Repeats  int
	// Workers holds numbers of workers; each is measured on a fleet of its own.
	Workers []int
	Teams   int
	Daemons int
	Out     io.Writer
}

// idleFigures holds the figures of one window. writes and reads are table items per second and daemon, on average over
// all daemons; bytesIn and bytesOut are bytes per second of the first daemon.
type idleFigures struct {
	cpuPercent, residentMB, privateMB, peakMB, writes, reads, bytesIn, bytesOut float64
}

// Run measures each number of workers on a fleet of its own and prints the medians over the windows.
func (m Idle) Run(ctx context.Context) error {
	_, _ = fmt.Fprintf(m.Out, "at rest: %d daemons, %d teams, medians of %d windows of %v, of the first daemon\n",
		m.Daemons, m.Teams, m.Repeats, m.Duration)
	_, _ = fmt.Fprintf(m.Out, "%7s %10s %11s %10s %8s %14s %13s %8s %8s %19s\n", "workers", "CPU %", "resident MB", "private MB", "peak MB",
		"rows written/s", "rows read/s", "B/s in", "B/s out", "change in force s")
	for _, n := range m.Workers {
		if err := m.measure(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (m Idle) measure(ctx context.Context, workers int) error {
	dir := filepath.Join(m.Dir, strconv.Itoa(workers))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return eris.Wrap(err, "create log directory")
	}
	f, err := startFleet(ctx, m.Bin, dir, fleetSpec{
		daemons: m.Daemons, workers: workers, teams: m.Teams, countTableItems: true,
	})
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.registerWorkers(ctx); err != nil {
		return err
	}
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	var all []idleFigures
	for range m.Repeats {
		figures, err := m.measureWindow(ctx, f)
		if err != nil {
			return err
		}
		all = append(all, figures)
	}
	seconds, err := f.changeTime(ctx, m.Repeats)
	if err != nil {
		return err
	}
	m.print(workers, all, seconds)
	return m.measureAfterKill(ctx, f)
}

// measureAfterKill kills the last daemon and prints how long it then takes until a change is in force at all other
// nodes. It does nothing with a single daemon.
func (m Idle) measureAfterKill(ctx context.Context, f *fleet) error {
	if m.Daemons < 2 {
		return nil
	}
	f.Daemons[m.Daemons-1].Kill()
	seconds, err := f.changeTime(ctx, 1)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(m.Out, "%7s a change made just after the death of a daemon is in force after %.2f s\n", "", seconds)
	return nil
}

// changeTime changes a team several times and returns the median time, in seconds, until a change is in force at every
// node.
func (f *fleet) changeTime(ctx context.Context, repeats int) (float64, error) {
	var all []float64
	for n := range repeats {
		start := time.Now()
		// The client succeeds only once the change is in force at every node.
		_, err := f.Client(ctx, "team", "change", berylsample.Team(0), "--weight="+strconv.Itoa(10+n))
		if err != nil {
			return 0, err
		}
		all = append(all, time.Since(start).Seconds())
	}
	return median(all), nil
}

// measureWindow returns what the first daemon uses, and what all daemons write and read, during one window.
func (m Idle) measureWindow(ctx context.Context, f *fleet) (idleFigures, error) {
	p := f.Daemons[0].Process
	before, err := p.Usage()
	if err != nil {
		return idleFigures{}, err
	}
	countsBefore := f.proxy.snapshot()
	if err := wait(ctx, m.Duration); err != nil {
		return idleFigures{}, err
	}
	after, err := p.Usage()
	if err != nil {
		return idleFigures{}, err
	}
	countsAfter, seconds := f.proxy.snapshot(), m.Duration.Seconds()
	daemonSeconds := seconds * float64(m.Daemons)
	return idleFigures{
		cpuPercent: 100 * (after.CPU - before.CPU).Seconds() / seconds,
		residentMB: mebibytes(after.ResidentKB), privateMB: mebibytes(after.PrivateKB), peakMB: mebibytes(after.PeakKB),
		writes:   float64(countsAfter.writes-countsBefore.writes) / daemonSeconds,
		reads:    float64(countsAfter.reads-countsBefore.reads) / daemonSeconds,
		bytesIn:  float64(after.BytesIn-before.BytesIn) / seconds,
		bytesOut: float64(after.BytesOut-before.BytesOut) / seconds,
	}, nil
}

func (m Idle) print(workers int, all []idleFigures, changeSeconds float64) {
	med := func(field func(idleFigures) float64) float64 { return medianOf(all, field) }
	_, _ = fmt.Fprintf(m.Out, "%7d %10.2f %11.1f %10.1f %8.1f %14.2f %13.2f %8.0f %8.0f %19.2f\n", workers,
		med(func(r idleFigures) float64 { return r.cpuPercent }), med(func(r idleFigures) float64 { return r.residentMB }),
		med(func(r idleFigures) float64 { return r.privateMB }),
		med(func(r idleFigures) float64 { return r.peakMB }), med(func(r idleFigures) float64 { return r.writes }),
		med(func(r idleFigures) float64 { return r.reads }), med(func(r idleFigures) float64 { return r.bytesIn }),
		med(func(r idleFigures) float64 { return r.bytesOut }), changeSeconds)
}

// wait pauses for the duration. If the context ends first, it returns the error of the context at once.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
