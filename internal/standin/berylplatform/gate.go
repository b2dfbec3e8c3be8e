package berylplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Gate serves a handler on one address and can be shut, so that connections are refused there.
type Gate struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// Listen serves the named service on the address.
func (p *Platform) Listen(ctx context.Context, name, address string) (*Gate, error) {
	handlers := map[string]http.Handler{
		ServiceTable: p.Table(), ServiceObjects: p.Objects(), ServiceInstances: p.Instances(),
	}
	h, ok := handlers[name]
	if !ok {
		return nil, errors.New("unknown service " + name)
	}
	g := &Gate{handler: h, address: address}
	if err := g.open(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.gates[name] = g
	p.mu.Unlock()
	return g, nil
}

// Address returns the address that the gate listens on when it is open.
func (g *Gate) Address() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.address
}

// Close stops listening and cuts the connections.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server == nil {
		return nil
	}
	err := g.server.Close()
	g.server = nil
	return err
}

func (g *Gate) set(ctx context.Context, shut bool) error {
	if shut {
		return g.Close()
	}
	return g.open(ctx)
}

func (g *Gate) open(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil {
		return nil
	}
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", g.address)
	if err != nil {
		return err
	}
	g.address = l.Addr().String()
	g.server = &http.Server{Handler: g.handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	// Serve ends with the server; its error says only that.
	go func(s *http.Server) { _ = s.Serve(l) }(g.server)
	return nil
}
