package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// listen opens the address and logs it, so that a port chosen by the system is known.
func listen(ctx context.Context, service, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", service, err)
	}
	log.Info().Str("service", service).Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve runs the server until the context ends, then cuts its connections.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// all runs the functions until the first one ends, ends the others through their context and joins the errors.
func all(ctx context.Context, run ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(run))
	for _, f := range run {
		go func() {
			ended <- f(ctx)
			cancel()
		}()
	}
	var err error
	for range run {
		err = errors.Join(err, <-ended)
	}
	return err
}
