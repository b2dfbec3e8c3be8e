package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"github.com/beryllatch/beryllatch/internal/node/berylserver"
	"github.com/phuslu/log"
)

func main() {
	var settings berylsettings.Daemon
	kong.Parse(
		&settings, kong.Name("beryllatchd"), kong.UsageOnError(),
		kong.Description("Entry daemon of the beryllatch fleet capacity and maintenance manager."),
	)
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := berylserver.Server{Settings: settings, Log: logger}
	if err := server.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("start failed")
		os.Exit(1) //nolint:gocritic // Nothing is left to clean up.
	}
}
