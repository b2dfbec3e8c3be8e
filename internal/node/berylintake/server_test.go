package berylintake

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const (
	testLimit = 256 << 10
	// waitTimeout bounds the wait for an answer; it is no assertion about speed.
	waitTimeout = 30 * time.Second
)

// serve starts a server that answers the length of the body; it refuses each call to /refused without reading the body.
func serve(t *testing.T, in *Intake, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	var h http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/refused":
			SkipBody(w, r)
			w.WriteHeader(http.StatusUnauthorized)
			return
		case "/panic":
			panic("unexpected")
		}
		data, err := ReadBody(w, r, testLimit)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		_, _ = fmt.Fprint(w, len(data))
	})
	if wrap != nil {
		h = wrap(h)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: waitTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	in.Protect(s)
	var cfg net.ListenConfig
	ln, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(in.Listen(ln, false)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) client {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return client{c, bufio.NewReader(c)}
}

func (c client) write(t *testing.T, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

// reply is an answer of the server.
type reply struct {
	status     int
	retryAfter string
	closes     bool
	body       string
}

func (c client) answer(t *testing.T) reply {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return reply{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close, string(b)}
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

func chunkedBody(n int) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("x", n))
}

var ample = Limits{Bytes: 4 << 20, Connections: 100}

// Guards against a refusal of a request within the limits, and against an untrue or missing refusal of another.
func TestRequests(t *testing.T) {
	for name, c := range map[string]struct {
		limits  Limits
		request string
		status  int
		body    string
		kind    Kind
	}{
		"no body":          {ample, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200, "0", ""},
		"largest body":     {ample, post("/", testLimit) + strings.Repeat("x", testLimit), 200, "262144", ""},
		"largest, chunked": {ample, chunkedBody(testLimit), 200, "262144", ""},
		"large body":       {ample, post("/", testLimit+1), 413, "", KindBody},
		"large, chunked":   {ample, chunkedBody(testLimit + 1), 413, "", KindBody},
		"large header":     {ample, "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", maxHeader) + "\r\n\r\n", 431, "", ""},
		"no budget":        {Limits{Bytes: 100 << 10, Connections: 100}, post("/", testLimit) + strings.Repeat("x", testLimit/2), 503, "", KindBudget},
		"header, no budget": {
			Limits{Bytes: 64 << 10, Connections: 100}, "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 8<<10) + "\r\n\r\n", 503, "", KindBudget,
		},
		"refused before its body": {ample, post("/refused", testLimit), 401, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			in := New(c.limits)
			conn := dial(t, serve(t, in, nil))
			conn.write(t, c.request)
			got := conn.answer(t)
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
			}
			assert.Equal(t, got.retryAfter != "", c.status == http.StatusServiceUnavailable)
			assert.Equal(t, got.closes, c.status != http.StatusOK)
			if c.kind != "" {
				assert.Equal(t, in.takeRefused()[c.kind], int64(1))
			}
		})
	}
}

// Guards against charges that stay when a request is answered or its connection is closed.
func TestChargesAreReturned(t *testing.T) {
	in := New(ample)
	address := serve(t, in, nil)
	conn := dial(t, address)
	for range 3 {
		conn.write(t, post("/", testLimit)+strings.Repeat("x", testLimit))
		got := conn.answer(t)
		assert.Equal(t, got.status, http.StatusOK)
	}
	for _, path := range []string{"/refused", "/panic"} {
		other := dial(t, address)
		other.write(t, post(path, testLimit))
		_, err := io.Copy(io.Discard, other.r)
		assert.NilError(t, err)
	}
	await(t, func() bool {
		bytes, connections := in.Usage()
		return connections == 1 && bytes == connectionCharge
	})
	_ = conn.Close()
	await(t, func() bool {
		bytes, connections := in.Usage()
		return connections == 0 && bytes == 0
	})
}

// await polls until ok; it gives up after waitTimeout.
func await(t *testing.T, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for !ok() {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that is not used again after a small body that was not read, or after one that was.
func TestConnectionIsKept(t *testing.T) {
	conn := dial(t, serve(t, New(ample), nil))
	for range 20 {
		for path, status := range map[string]int{"/refused": http.StatusUnauthorized, "/": http.StatusOK} {
			conn.write(t, post(path, 1000)+strings.Repeat("x", 1000))
			got := conn.answer(t)
			assert.Equal(t, got.status, status)
			assert.Assert(t, !got.closes)
		}
	}
}

// Guards against an answer that is lost since its client still sends the body that nobody reads.
func TestRefusalReachesClientThatSends(t *testing.T) {
	address := serve(t, New(ample), nil)
	for range 20 {
		conn := dial(t, address)
		conn.write(t, post("/refused", testLimit)+strings.Repeat("x", testLimit))
		got := conn.answer(t)
		assert.Equal(t, got.status, http.StatusUnauthorized)
	}
}

// Guards against a request that keeps its budget from others without making progress.
func TestStalledRequestGivesWay(t *testing.T) {
	in := New(Limits{Bytes: 500 << 10, Connections: 100})
	address := serve(t, in, nil)
	stalled := dial(t, address)
	stalled.write(t, post("/", testLimit)+strings.Repeat("x", testLimit-1))
	await(t, func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		for c := range in.conns {
			if c.size >= testLimit {
				c.usage.progress = time.Now().Add(-stallTime)
				return true
			}
		}
		return false
	})
	conn := dial(t, address)
	conn.write(t, post("/", testLimit)+strings.Repeat("x", testLimit))
	got := conn.answer(t)
	assert.Equal(t, got.status, http.StatusOK)
	got = stalled.answer(t)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retryAfter, "1")
	assert.Equal(t, in.takeRefused()[KindStalled], int64(1))
}

// Guards against open connections that keep a new one from being served, and against closing one that has been answered
// before one that never was.
func TestNewConnectionIsServed(t *testing.T) {
	in := New(Limits{Bytes: 4 << 20, Connections: 3})
	address := serve(t, in, nil)
	kept := dial(t, address)
	kept.write(t, post("/", 1)+"x")
	kept.answer(t)
	for range 10 {
		dial(t, address).write(t, "GET / HTTP/1.1\r\n")
	}
	conn := dial(t, address)
	for _, c := range []client{conn, kept} {
		c.write(t, post("/", 1)+"x")
		got := c.answer(t)
		assert.Equal(t, got.status, http.StatusOK)
	}
	_, connections := in.Usage()
	assert.Assert(t, connections <= 3)
}

// Guards against requests on one HTTP/2 connection that are refused, or whose charges are not returned, and against deadlines
// of one that end the others.
func TestHTTP2(t *testing.T) {
	in := New(ample)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(w, r, testLimit)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		_, _ = fmt.Fprint(w, r.ProtoMajor, len(data))
	}))
	s.EnableHTTP2 = true
	in.Protect(s.Config)
	s.Listener = in.Listen(s.Listener, false)
	s.StartTLS()
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			for size, status := range map[int]int{0: 200, 10: 200, testLimit / 4: 200, testLimit + 1: 413} {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, bytes.NewReader(make([]byte, size)))
				assert.Check(t, err)
				resp, err := s.Client().Do(req)
				if !assert.Check(t, err) {
					return
				}
				b, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				assert.Check(t, err)
				assert.Check(t, is.Equal(resp.StatusCode, status))
				if status == http.StatusOK {
					assert.Check(t, is.Equal(string(b), fmt.Sprint(2, size)))
				}
			}
		})
	}
	calls.Wait()
	await(t, func() bool {
		charged, connections := in.Usage()
		return charged == int64(connections)*connectionCharge
	})
}

// Guards against a handler of bodies of any size that reads more than the limit, or not all of the body.
func TestWithBody(t *testing.T) {
	wrap := func(http.Handler) http.Handler {
		return WithBody(func() int64 { return testLimit }, func(*http.Request, []byte) int64 { return 0 }, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if err != nil || !bytes.Equal(b, bytes.Repeat([]byte("x"), len(b))) {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = fmt.Fprint(w, len(b))
		}))
	}
	address := serve(t, New(ample), wrap)
	for size, status := range map[int]int{1: 200, testLimit: 200, testLimit + 1: 413} {
		conn := dial(t, address)
		conn.write(t, post("/", size)+strings.Repeat("x", min(size, testLimit)))
		got := conn.answer(t)
		assert.Equal(t, got.status, status)
		if status == http.StatusOK {
			assert.Equal(t, got.body, fmt.Sprint(size))
		}
	}
}
