package berylplatform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fullListener has no descriptors for the first connections.
type fullListener struct {
	net.Listener
	failures int
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a platform that ends when its descriptors are used up, and against idle connections that keep new ones from being
// forwarded.
func TestBalancerUnderPressure(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := newBalancer(time.Hour)
	b.maxRelays = 2
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, &fullListener{Listener: ln, failures: 2}) }()
	daemon, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = daemon.Close() }()
	admin := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer admin.Close()
	b.Add(daemon.Addr().String(), admin.Listener.Addr().String())
	b.checkReadiness(ctx)
	assert.NilError(t, daemon.(*net.TCPListener).SetDeadline(time.Now().Add(time.Minute)))
	for range 5 {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		forwarded, err := daemon.Accept()
		assert.NilError(t, err)
		defer func() { _ = forwarded.Close() }()
	}
	b.mu.Lock()
	relays := len(b.relays)
	b.mu.Unlock()
	assert.Equal(t, relays, 2)
	cancel()
	assert.NilError(t, <-served)
}
