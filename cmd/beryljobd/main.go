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
	buffer := &berylentry.LogBuffer{Out: os.Stdout}
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: log.IOWriter{Writer: buffer}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	entry := berylentry.Entry{Flags: flags, Log: logger}
	err := entry.Run(ctx, hangups(ctx))
	if err != nil {
		logger.Error().Err(err).Msg("start_failed")
	}
	buffer.Flush()
	if err != nil {
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
