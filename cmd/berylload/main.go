package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/bench/berylload"
)

// cli holds the global flags and a command for each measurement.
type cli struct {
	Bin     string     `default:"bin" type:"existingdir" help:"Directory of the built programs."`
	Request requestCmd `cmd:"" help:"Latency and throughput of requests, through a daemon and directly to the workers."`
	Stream  streamCmd  `cmd:"" help:"Peak resident memory of a daemon that streams large bodies."`
	Kind    kindCmd    `cmd:"" help:"Table rows that each kind of work reads and writes."`
	Urgent  urgentCmd  `cmd:"" help:"Time to the start of urgent requests while others overload the fleet."`
	Idle    idleCmd    `cmd:"" help:"Processor time, memory and table calls of a daemon at rest."`

	Schedule scheduleCmd `cmd:"" help:"Processor time of a scheduling node for each started task."`
}

type requestCmd struct {
	Duration time.Duration `default:"3s" help:"Length of a pass."`
	Repeats  int           `default:"5" help:"Passes of each kind; the medians are printed."`
	Conns    []int         `default:"1,8,64" help:"Numbers of connections, each at most 64; each number is measured."`
}

// Run measures the latency and throughput of requests.
func (c *requestCmd) Run(ctx context.Context, global *cli) error {
	return withTempDir(func(dir string) error {
		return berylload.Requests{
			Bin: global.Bin, Dir: dir, Duration: c.Duration, Repeats: c.Repeats, Conns: c.Conns, Out: os.Stdout,
		}.Run(ctx)
	})
}

type streamCmd struct {
	Bytes   int   `default:"67108864" help:"Size of a body, at most 64 MiB."`
	AtOnce  []int `default:"1,4" help:"Numbers of requests at a time; each number is measured."`
	Repeats int   `default:"5" help:"Requests of each kind on each connection; the peak of all counts."`
}

// Run measures the memory for large bodies.
func (c *streamCmd) Run(ctx context.Context, global *cli) error {
	return withTempDir(func(dir string) error {
		return berylload.Streams{
			Bin: global.Bin, Dir: dir, Bytes: c.Bytes, AtOnce: c.AtOnce, Repeats: c.Repeats, Out: os.Stdout,
		}.Run(ctx)
	})
}

type kindCmd struct {
	Duration time.Duration `default:"4s" help:"Length of a pass."`
	Repeats  int           `default:"3" help:"Passes of each kind; the medians are printed."`
}

// Run measures the table rows for each kind of work.
func (c *kindCmd) Run(ctx context.Context, global *cli) error {
	return withTempDir(func(dir string) error {
		return berylload.Kinds{
			Bin: global.Bin, Dir: dir, Duration: c.Duration, Repeats: c.Repeats, Out: os.Stdout,
		}.Run(ctx)
	})
}

type urgentCmd struct {
	Duration time.Duration `default:"20s" help:"Length of the overload."`
	Daemons  int           `default:"9" help:"Entry daemons."`
	Workers  int           `default:"10" help:"Workers."`
	Load     float64       `default:"4" help:"Number of other requests that wait or run at any time, divided by the slots of all workers."`
}

// Run measures the time to the start of urgent requests.
func (c *urgentCmd) Run(ctx context.Context, global *cli) error {
	return withTempDir(func(dir string) error {
		return berylload.Urgent{
			Bin: global.Bin, Dir: dir, Daemons: c.Daemons, Workers: c.Workers, Duration: c.Duration, Load: c.Load,
			Out: os.Stdout,
		}.Run(ctx)
	})
}

type idleCmd struct {
	Duration time.Duration `default:"10s" help:"Length of a window."`
	Repeats  int           `default:"3" help:"Number of windows; the medians are printed."`
	Workers  []int         `default:"50,200,630" help:"Configured workers, a fleet for each number."`
	Teams    int           `default:"26" help:"Configured teams."`
	Daemons  int           `default:"1" help:"Entry daemons."`
}

// Run measures daemons at rest.
func (c *idleCmd) Run(ctx context.Context, global *cli) error {
	return withTempDir(func(dir string) error {
		return berylload.Idle{
			Bin: global.Bin, Dir: dir, Duration: c.Duration, Repeats: c.Repeats, Workers: c.Workers, Teams: c.Teams,
			Daemons: c.Daemons, Out: os.Stdout,
		}.Run(ctx)
	})
}

type scheduleCmd struct {
	Program  string        `default:"bin/beryljobd" type:"existingfile" help:"The daemon to measure."`
	Duration time.Duration `default:"10s" help:"Length of the measured window."`
	Workers  int           `default:"540" help:"Workers."`
	Starts   []int         `default:"1000,2000,4000" help:"Offered tasks per second, a daemon for each rate."`
}

// Run measures scheduling nodes under load.
func (c *scheduleCmd) Run(ctx context.Context) error {
	return withTempDir(func(dir string) error {
		return berylload.Schedule{
			Program: c.Program, Dir: dir, Duration: c.Duration, Workers: c.Workers, Starts: c.Starts, Out: os.Stdout,
		}.Run(ctx)
	})
}

// withTempDir calls f with a new directory for the logs of the processes and removes it afterwards.
func withTempDir(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "berylload")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return f(dir)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	global := &cli{}
	k := kong.Parse(global, kong.Name("berylload"), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(global))
	k.FatalIfErrorf(k.Run())
}
