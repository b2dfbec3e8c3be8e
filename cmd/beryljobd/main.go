package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/node/berylentry"
	"github.com/phuslu/log"
)

func main() {
	var flags berylentry.Flags
	kong.Parse(&flags, kong.Name("beryljobd"), kong.UsageOnError(),
		kong.Description("Entry daemon for jobs of the beryllatch fleet capacity and maintenance manager."))
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: log.IOWriter{Writer: os.Stdout}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	entry := berylentry.Entry{Flags: flags, Log: logger}
	if err := entry.Run(ctx, hangups(ctx)); err != nil {
		logger.Error().Err(err).Msg("start_failed")
		os.Exit(1) //nolint:gocritic // Nothing is left to clean up.
	}
}

// hangups returns a channel that receives each SIGHUP.
func hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-signals:
				select {
				case out <- struct{}{}:
				default:
				}
			}
		}
	}()
	return out
}
