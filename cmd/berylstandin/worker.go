package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
)

// workerCmd holds the settings of the worker stand-ins.
type workerCmd struct {
	Listen      []string      `default:"127.0.0.1:9000" help:"Addresses; each gets a worker of its own."`
	Slots       int           `default:"8" help:"Executions and tasks that run at a time."`
	Connections int           `default:"64" help:"Open connections above which starts are refused."`
	RunTime     time.Duration `default:"50ms" help:"Run time of work that does not set its own."`
	RebootTime  time.Duration `default:"2s" help:"How long a reboot takes."`
	Seed        uint64        `default:"1" help:"Seed of the random choice of calls under a fault with a share."`
}

// Run serves until the context is cancelled or one of the workers fails.
func (c *workerCmd) Run(ctx context.Context) error {
	if c.Slots < 1 || c.Connections < 1 {
		return errors.New("slots and connections must be at least 1")
	}
	in := berylintake.New(berylintake.LimitsFor(0, berylintake.ProcessFDs()))
	var servers []func(context.Context) error
	for _, address := range c.Listen {
		l, err := listen(ctx, "worker", address)
		if err != nil {
			return err
		}
		w := berylupstream.New(
			berylupstream.WithName(l.Addr().String()), berylupstream.WithSlots(c.Slots),
			berylupstream.WithConnections(c.Connections), berylupstream.WithRun(c.RunTime),
			berylupstream.WithReboot(c.RebootTime), berylupstream.WithSeed(c.Seed),
		)
		// The idle time-out is longer than that of the clients, so that they never send a request on a connection that the
		// worker is closing.
		s := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * time.Minute}
		w.Configure(s)
		servers = append(servers, func(ctx context.Context) error { return serve(ctx, l, s, in) })
	}
	return runAll(ctx, servers...)
}
