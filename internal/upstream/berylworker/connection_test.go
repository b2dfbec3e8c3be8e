package berylworker_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Guards against a connection that carried a foreign answer being used again.
func TestMismatchClosesConnection(t *testing.T) {
	var conns atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(berylworker.HeaderExecutionID, "other")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := berylworker.New()
	for range 3 {
		_, _, err := execute(t.Context(), c, execution(srv.Listener.Addr().String(), "e1"), nil, strings.NewReader("x"))
		assert.Equal(t, failed(t, err).Reason, beryllatch.ReasonAnswerMismatch)
	}
	assert.Equal(t, conns.Load(), int32(3))
}

// Guards against a request being sent twice when the worker closes an idle connection without an answer.
func TestExecuteIsNeverReplayed(t *testing.T) {
	for _, tc := range []struct {
		name string
		body io.Reader
	}{
		{"nil body", nil},
		{"empty reader", strings.NewReader("")},
		{"http.NoBody", http.NoBody},
		{"known length", strings.NewReader("body")},
		{"unknown length", io.MultiReader(strings.NewReader("body"))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, requests := serveOnce(t)
			c := berylworker.New()
			h := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
			_, _, err := execute(t.Context(), c, execution(address, "e1"), h, strings.NewReader("first"))
			assert.NilError(t, err)
			_, _, err = execute(t.Context(), c, execution(address, "e1"), h, tc.body)
			assert.Equal(t, failed(t, err).Outcome, beryllatch.OutcomeUnknown)
			assert.Equal(t, requests.Load(), int32(2))
		})
	}
}

// serveOnce answers the first request on each connection and cuts the connection on the second one's header.
func serveOnce(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	var requests atomic.Int32
	var cfg net.ListenConfig
	l, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					if n > 0 {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+
						berylworker.HeaderExecutionID+": "+req.Header.Get(berylworker.HeaderExecutionID)+"\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String(), &requests
}
