package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/beryllatch/beryllatch/internal/client/berylcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := berylcommand.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
