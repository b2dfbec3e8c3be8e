package berylplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
)

// Server serves a handler on one address. While it is closed, connections to the address are refused.
type Server struct {
	handler http.Handler
	intake  *berylintake.Intake

	mu      sync.Mutex
	address string
	// httpServer and listener are nil while the server is closed.
	httpServer *http.Server
	listener   net.Listener
}

// Listen starts a server for the named service on the address. SetFaults closes it for an outage of kind "refuse" and opens
// it again.
func (p *Platform) Listen(ctx context.Context, name, address string) (*Server, error) {
	handlers := map[string]http.Handler{
		ServiceTable: p.Table(), ServiceObjects: p.Objects(), ServiceInstances: p.Instances(),
	}
	h, ok := handlers[name]
	if !ok {
		return nil, errors.New("unknown service " + name)
	}
	s := &Server{handler: h, intake: p.intake, address: address}
	if err := s.listen(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.servers[name] = s
	p.mu.Unlock()
	return s, nil
}

// Address returns the address that the server listens on while it is open; a port 0 has been replaced by the chosen one.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops listening and closes the open connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return nil
	}
	// The HTTP server does not know the listener before its goroutine has run.
	err := s.listener.Close()
	if serverErr := s.httpServer.Close(); !errors.Is(serverErr, net.ErrClosed) {
		err = errors.Join(err, serverErr)
	}
	s.httpServer, s.listener = nil, nil
	return err
}

func (s *Server) setRefusing(ctx context.Context, refuse bool) error {
	if refuse {
		return s.Close()
	}
	return s.listen(ctx)
}

func (s *Server) listen(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return nil
	}
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.address, s.listener = l.Addr().String(), l
	s.httpServer = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	s.intake.Protect(s.httpServer)
	// Serve returns when the server is closed, with an error that only says so.
	go func(h *http.Server) { _ = h.Serve(s.intake.Listen(l, false)) }(s.httpServer)
	return nil
}
