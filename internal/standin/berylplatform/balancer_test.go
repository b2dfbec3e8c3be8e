package berylplatform

import (
	"context"
	"io"
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

// pressedBalancer is a balancer for two connections before a daemon that accepts connections and never answers.
type pressedBalancer struct {
	*Balancer
	address string
	daemon  net.Listener
}

// startBalancer starts a balancer that fails to accept the given number of times. It ends with the test.
func startBalancer(t *testing.T, failures int) pressedBalancer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	daemon, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, daemon.(*net.TCPListener).SetDeadline(time.Now().Add(time.Minute)))
	admin := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b := newBalancer(time.Hour)
	b.maxRelays = 2
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, &fullListener{Listener: ln, failures: failures}) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-served)
		_ = daemon.Close()
		admin.Close()
	})
	b.Add(daemon.Addr().String(), admin.Listener.Addr().String())
	b.checkReadiness(ctx)
	return pressedBalancer{Balancer: b, address: ln.Addr().String(), daemon: daemon}
}

// connect opens a connection and returns the daemon's side of it.
func (b pressedBalancer) connect(t *testing.T) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", b.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	forwarded, err := b.daemon.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = forwarded.Close() })
	return forwarded
}

// Guards against a platform that ends when its descriptors are used up, and against idle connections that keep new ones from being
// forwarded.
func TestBalancerUnderPressure(t *testing.T) {
	b := startBalancer(t, 2)
	for range 5 {
		b.connect(t)
	}
	b.mu.Lock()
	relays := len(b.relays)
	b.mu.Unlock()
	assert.Equal(t, relays, 2)
}

// Guards against relays that are closed for newer ones and keep their connections to the daemon.
func TestBalancerClosesBothSidesOfRelays(t *testing.T) {
	b := startBalancer(t, 0)
	const clients = 10
	closed := make(chan error, clients)
	for i := range clients {
		c := b.connect(t)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		if i < clients-b.maxRelays {
			go func() {
				_, err := c.Read(make([]byte, 1))
				closed <- err
			}()
		}
	}
	for range clients - b.maxRelays {
		assert.ErrorIs(t, <-closed, io.EOF)
	}
}
