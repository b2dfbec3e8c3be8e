package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/phuslu/log"
)

// headerTimeout limits how long a server waits for the header of a request.
const headerTimeout = 10 * time.Second

// listen listens on the address and logs it with the port, which the system chooses if the address has port 0.
func listen(ctx context.Context, service, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", service, err)
	}
	log.Info().Str("service", service).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve runs the server within the limits for clients until the context is cancelled, then closes it and all its connections.
func serve(ctx context.Context, l net.Listener, s *http.Server, in *berylintake.Intake) error {
	in.Protect(s)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(in.Listen(l, false)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runAll runs the functions at the same time. When the first one returns, it cancels the context of the others, waits
// for them and joins the errors.
func runAll(ctx context.Context, functions ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, len(functions))
	for _, f := range functions {
		go func() {
			errs <- f(ctx)
			cancel()
		}()
	}
	var err error
	for range functions {
		err = errors.Join(err, <-errs)
	}
	return err
}
