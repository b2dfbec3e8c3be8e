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

// serve runs the server on the address until the context ends, then cuts its connections.
func serve(ctx context.Context, name, address string, s *http.Server) error {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	log.Info().Str("service", name).Str("address", l.Addr().String()).Msg("listening")
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
