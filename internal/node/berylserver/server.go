package berylserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"github.com/beryllatch/beryllatch/internal/common/beryltls"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

const (
	// headerTimeout and maxHeader, in bytes, bound how long a slow or hostile client may occupy a connection and how
	// much memory it may take with the headers of a request.
	headerTimeout = 5 * time.Second
	maxHeader     = 32 << 10
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 60 * time.Second
)

// Server is a daemon with its listeners; set Settings and Log, then call Run.
type Server struct {
	Settings berylsettings.Daemon
	Log      *log.Logger

	daemon   *beryldaemon.Daemon
	metrics  *berylmetrics.Registry
	intake   *berylintake.Intake
	servers  []*http.Server
	stopping atomic.Bool
	// closeIdle makes stop close idle connections at its start; only tests set it.
	closeIdle bool
}

// Run serves until ctx is cancelled, then shuts down gracefully. It returns an error if the settings are invalid or a
// listener cannot start.
func (s *Server) Run(ctx context.Context) error {
	h, err := s.build()
	if err != nil {
		return err
	}
	for _, l := range s.listeners(h) {
		if err := s.listen(l); err != nil {
			s.close()
			return err
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The daemon's event loop must continue after ctx is cancelled, since the graceful shutdown needs it.
		s.daemon.Run(context.WithoutCancel(ctx))
	}()
	go s.intake.Report(done, s.metrics, s.Log)
	select {
	case <-ctx.Done():
		s.stop(ctx, done)
	case <-done:
	}
	s.close()
	return nil
}

// stop starts the daemon's graceful shutdown and waits until done is closed and the answers are written, for at most
// the shutdown time-out.
func (s *Server) stop(ctx context.Context, done <-chan struct{}) {
	if s.closeIdle {
		for _, h := range s.servers {
			h.SetKeepAlivesEnabled(false)
		}
	}
	s.stopping.Store(true)
	s.daemon.Stop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Settings.ShutdownTimeout)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
		s.Log.Warn().Msg("shutdown timeout: requests are still running")
	}
	for _, h := range s.servers {
		_ = h.Shutdown(ctx)
	}
}

// closeAfterAnswer makes a server that is being stopped close each connection after the next answer. Idle connections
// stay open until the end of the stop: if they were closed at its start, requests that are already on their way would
// fail.
func (s *Server) closeAfterAnswer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) close() {
	for _, h := range s.servers {
		_ = h.Close()
	}
}

// listener is one address with its handler.
type listener struct {
	name    string
	address string
	tls     berylsettings.TLSFiles
	handler http.Handler
}

// listen opens the listener and serves it in a goroutine of its own.
func (s *Server) listen(l listener) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Server{
		Protocols: protocols,
		Handler:   s.closeAfterAnswer(l.handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, IdleTimeout: idleTimeout,
	}
	if l.tls.Enabled() {
		files, err := beryltls.Load(l.tls)
		if err != nil {
			return eris.Wrapf(err, "%s listener", l.name)
		}
		h.TLSConfig = files.ServerConfig()
	}
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return eris.Wrapf(err, "%s listener", l.name)
	}
	s.intake.Protect(h)
	s.servers = append(s.servers, h)
	go s.serve(h, s.intake.Listen(ln, l.name == "peers"), l.name)
	s.Log.Info().Str("subject", l.name+" listener").Str("to", "listening").Str("address", ln.Addr().String()).
		Msg("state changed")
	return nil
}

func (s *Server) serve(h *http.Server, ln net.Listener, name string) {
	serve := func() error { return h.Serve(ln) }
	if h.TLSConfig != nil {
		serve = func() error { return h.ServeTLS(ln, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Error().Err(err).Msgf("%s listener failed", name)
	}
}
