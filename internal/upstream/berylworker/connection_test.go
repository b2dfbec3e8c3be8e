package berylworker_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Guards against reuse of a connection that carried the answer of another execution, and against an unknown outcome for
// an execution that was assigned such a connection but not sent on it.
func TestMismatchClosesConnection(t *testing.T) {
	for _, answer := range []string{"", "body"} {
		t.Run("answer "+answer, func(t *testing.T) {
			var mu sync.Mutex
			requests := make(map[string]int)
			address := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				requests[r.RemoteAddr]++
				mu.Unlock()
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(berylworker.HeaderExecutionID, "other")
				_, _ = io.WriteString(w, answer)
			})
			c := berylworker.New()
			for range 50 {
				_, _, err := execute(t.Context(), c, execution(address, "e1"), nil, strings.NewReader("x"))
				if e := executionError(t, err); e.Outcome != beryllatch.OutcomeNotSent {
					assert.Equal(t, e.Reason, beryllatch.ReasonAnswerMismatch)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for conn, n := range requests {
				assert.Equal(t, n, 1, "connection %s", conn)
			}
		})
	}
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
			address, requests := serveOncePerConnection(t)
			c := berylworker.New()
			h := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
			_, _, err := execute(t.Context(), c, execution(address, "e1"), h, strings.NewReader("first"))
			assert.NilError(t, err)
			_, _, err = execute(t.Context(), c, execution(address, "e1"), h, tc.body)
			assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
			assert.Equal(t, requests.Load(), int32(2))
		})
	}
}

// serveOncePerConnection answers the first request on each connection, and closes the connection without an answer once
// it has read the header of a second one.
func serveOncePerConnection(t *testing.T) (string, *atomic.Int32) {
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
