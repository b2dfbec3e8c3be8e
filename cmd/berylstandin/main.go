package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli lists the stand-ins, one command each.
type cli struct {
	Platform platformCmd `cmd:"" help:"Serve the table, the object store, the instance list and the load balancer."`
	Worker   workerCmd   `cmd:"" help:"Serve one worker on each listen address."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&cli{},
		kong.Name("berylstandin"),
		kong.Description("Stand-ins for the platform and for workers; faults are switched on with PUT /faults."),
		kong.DefaultEnvars("BERYLSTANDIN"),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	k.FatalIfErrorf(k.Run())
}
