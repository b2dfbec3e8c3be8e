package berylserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// stopUnderRequests stops a server while one request is in progress, then sends another one on a connection that was
// idle when the stop began. It returns the errors that the two callers see. The daemon stops before the first request
// is answered.
func stopUnderRequests(t *testing.T, s *Server) (running, idle error) {
	t.Helper()
	s.Log = &log.Logger{Level: log.FatalLevel}
	s.daemon = &beryldaemon.Daemon{}
	s.daemon.Init()
	entered, release := make(chan bool), make(chan bool)
	h := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: s.closeAfterAnswer(
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(entered)
				<-release
			}
		}),
	)}
	var cfg net.ListenConfig
	ln, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.servers = append(s.servers, h)
	go s.serve(h, ln, "callers")
	first, second := connect(t, ln), connect(t, ln)
	assert.NilError(t, second.send(t, "/"))
	slow := make(chan error, 1)
	go func() { slow <- first.send(t, "/slow") }()
	<-entered
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop(context.Background(), done)
		s.close()
	}()
	for !s.stopping.Load() {
		runtime.Gosched()
	}
	if s.Settings.ShutdownTimeout == 0 {
		<-stopped
	}
	idle = second.send(t, "/")
	close(done)
	close(release)
	running = <-slow
	<-stopped
	return running, idle
}

// callerConn is one connection of a caller. Unlike an http.Client, it does not repeat a request that fails on an idle
// connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, ln net.Listener) callerConn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return callerConn{Conn: c, reader: bufio.NewReader(c)}
}

func (c callerConn) send(t *testing.T, path string) error {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://entry"+path, nil)
	if err != nil {
		return err
	}
	if err := req.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against settings that accept a limit of descriptors which leaves no connections.
func TestLeastDescriptors(t *testing.T) { assert.Equal(t, berylsettings.MinFDs, berylintake.MinFDs) }

// Guards against a graceful stop that closes the connection of a request in progress, or of a request that arrives on a
// connection that was idle.
func TestStopCutsNothing(t *testing.T) {
	running, idle := stopUnderRequests(t, &Server{Settings: berylsettings.Daemon{ShutdownTimeout: time.Minute}})
	assert.NilError(t, running)
	assert.NilError(t, idle)
}

// Guards against a TestStopCutsNothing that passes without the code that it tests: a stop that does not wait for the
// requests in progress, or closes idle connections at its start, must fail a request.
func TestStopNeedsTheDrain(t *testing.T) {
	running, _ := stopUnderRequests(t, &Server{})
	assert.Assert(t, running != nil, "the request in progress did not fail")
	s := &Server{Settings: berylsettings.Daemon{ShutdownTimeout: time.Minute}, closeIdle: true}
	running, idle := stopUnderRequests(t, s)
	assert.NilError(t, running)
	assert.Assert(t, idle != nil, "the request on the idle connection did not fail")
}
