package berylintake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// passOn answers the length of a body that it reads as it arrives, after a charge for what it becomes.
func passOn(decoded int64) func(http.Handler) http.Handler {
	return func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := Stream(w, r)
			if err == nil {
				err = Reserve(r.Context(), decoded)
			}
			if err != nil {
				SkipBody(w, r)
				writeRefusal(w, err)
				return
			}
			n, err := io.Copy(io.Discard, body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = fmt.Fprint(w, n)
		})
	}
}

// Guards against bodies that are passed on incompletely, and against charges for them that are missing or stay.
func TestStream(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		decoded int64
		status  int
		body    string
	}{
		"no body":           {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 0, 200, "0"},
		"body":              {post("/", testLimit) + strings.Repeat("x", testLimit), 0, 200, "262144"},
		"chunks":            {chunkedBody(testLimit), 0, 200, "262144"},
		"no budget":         {post("/", testLimit) + strings.Repeat("x", testLimit), 4 << 20, 503, ""},
		"chunks, no budget": {chunkedBody(testLimit), 4 << 20, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			in := New(ample)
			conn := dial(t, serve(t, in, passOn(c.decoded)))
			conn.write(t, c.request)
			got := conn.answer(t)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.retryAfter != "", c.status == http.StatusServiceUnavailable)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
			}
			await(t, func() bool {
				charged, connections := in.Usage()
				return charged == int64(connections)*connectionCharge
			})
		})
	}
}

// Guards against clients that keep connections for themselves by bodies that they don't end.
func TestStalledStreamGivesWay(t *testing.T) {
	const connections = 3
	in := New(Limits{Bytes: 4 << 20, Connections: connections})
	address := serve(t, in, passOn(0))
	for range connections {
		dial(t, address).write(t, post("/", testLimit)+strings.Repeat("x", testLimit-1))
	}
	await(t, func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		waiting := 0
		for c := range in.conns {
			if !c.usage.answering && c.size >= testLimit {
				waiting++
			}
		}
		return waiting == connections
	})
	conn := dial(t, address)
	conn.write(t, post("/", 1)+"x")
	got := conn.answer(t)
	assert.Equal(t, got.status, http.StatusOK)
}

// slowReader returns single bytes, each after a pause.
type slowReader struct{ pause time.Duration }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	p[0] = 'x'
	return 1, nil
}

// Guards against a limit on the time for a body that counts the time in which the handler does not read it, or that a client avoids by
// sending single bytes.
func TestStreamCountsTheTimeOfTheClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := net.Pipe()
		defer func() { _, _ = server.Close(), client.Close() }()
		s := &stream{ctx: t.Context(), conn: &conn{Conn: server, intake: New(ample)}, body: slowReader{time.Second}}
		p := make([]byte, 4)
		for range 3 {
			_, err := s.Read(p)
			assert.NilError(t, err)
			time.Sleep(time.Minute)
		}
		assert.Equal(t, s.left, bodyTimeout-3*time.Second)
	})
}
