package berylworker_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// serveWorker serves the worker on loopback and returns its address.
func serveWorker(t *testing.T, k *berylupstream.Worker) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(k.Handler())
	k.Configure(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func serveHandler(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func execution(address, id string) beryllatch.Execution {
	now := time.Now()
	return beryllatch.Execution{
		ID: id, Address: address, Team: "team", Queue: "queue",
		StartBy: now.Add(time.Minute), LeaseExpiry: now.Add(time.Minute),
	}
}

// failed checks that the error is an execution's and returns it.
func failed(t *testing.T, err error) *beryllatch.ExecutionError {
	t.Helper()
	e, ok := errors.AsType[*beryllatch.ExecutionError](err)
	assert.Assert(t, ok, "got %v", err)
	return e
}

func readAll(resp *http.Response) (string, error) {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against an answer that loses its status, its body or the work's identity on the way.
func TestExecuteAnswered(t *testing.T) {
	k := berylupstream.New()
	address := serveWorker(t, k)
	h := http.Header{
		berylupstream.HeaderAnswerBytes: {"200000"}, berylupstream.HeaderRunMS: {"0"},
		berylworker.HeaderRequestID: {"r1"}, "Authorization": {"Bearer secret"}, "Connection": {"close"},
	}
	resp, err := berylworker.New().Execute(t.Context(), execution(address, "e1"), h, strings.NewReader("body"))
	assert.NilError(t, err)
	body, err := readAll(resp)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 200000)
	assert.Equal(t, h.Get("Authorization"), "Bearer secret", "the caller's header must not be changed")
	record := k.Record()
	assert.Equal(t, len(record), 1)
	got := record[0]
	assert.Equal(t, got.ID+" "+got.RequestID+" "+got.Team+" "+got.Queue+" "+got.Outcome, "e1 r1 team queue done")
	assert.Equal(t, resp.Header.Get(berylupstream.HeaderBodySum), got.BodySum)
	assert.Equal(t, body[:64], got.BodySum)
}

// Guards against a fault of a worker that is reported as "not run", or as an answer.
func TestExecuteUnderWorkerFaults(t *testing.T) {
	once := berylupstream.Trigger{Next: 1}
	for _, tc := range []struct {
		name    string
		faults  berylupstream.Faults
		startBy time.Duration
		outcome beryllatch.ExecutionOutcome
		reason  beryllatch.Reason
		starts  int
	}{
		{
			"cut before the start",
			berylupstream.Faults{CutBeforeStart: once},
			time.Minute,
			beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost, 0,
		},
		{
			"cut after the start",
			berylupstream.Faults{CutAfterStart: once},
			time.Minute,
			beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost, 1,
		},
		{
			"truncated answer",
			berylupstream.Faults{Truncated: once},
			time.Minute,
			beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost, 1,
		},
		{"doubled answer", berylupstream.Faults{Doubled: once}, time.Minute, beryllatch.OutcomeAnswered, "", 1},
		{
			"late answer",
			berylupstream.Faults{AnswerLate: once, AnswerLateMS: 20},
			time.Minute,
			beryllatch.OutcomeAnswered, "", 1,
		},
		{"failing work", berylupstream.Faults{FailEverything: true}, time.Minute, beryllatch.OutcomeAnswered, "", 1},
		{
			"frozen past start-by",
			berylupstream.Faults{Freeze: true},
			100 * time.Millisecond,
			"", "", 0,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := berylupstream.New(berylupstream.WithRun(0))
			assert.NilError(t, k.SetFaults(tc.faults))
			e := execution(serveWorker(t, k), "e1")
			e.StartBy = time.Now().Add(tc.startBy)
			resp, err := berylworker.New().Execute(t.Context(), e, nil, strings.NewReader("body"))
			if err == nil {
				_, err = readAll(resp)
			}
			assert.Equal(t, len(k.Record()), tc.starts)
			switch tc.outcome {
			case "":
				// The client's clock and the worker's race at start-by; each verdict is true, and an answer is not.
				failed(t, err)
			case beryllatch.OutcomeAnswered:
				assert.NilError(t, err)
			default:
				got := failed(t, err)
				assert.Equal(t, got.Outcome, tc.outcome)
				assert.Equal(t, got.Reason, tc.reason)
			}
		})
	}
}

// Guards against one caller receiving another caller's answer.
func TestExecuteCrossedAnswers(t *testing.T) {
	k := berylupstream.New(berylupstream.WithRun(0))
	assert.NilError(t, k.SetFaults(berylupstream.Faults{Crossed: berylupstream.Trigger{Next: 2}}))
	address := serveWorker(t, k)
	c := berylworker.New()
	errs := make(chan error, 2)
	for _, id := range []string{"e1", "e2"} {
		go func() {
			resp, err := c.Execute(t.Context(), execution(address, id), nil, strings.NewReader(id))
			if err == nil {
				_ = resp.Body.Close()
			}
			errs <- err
		}()
	}
	for range 2 {
		e := failed(t, <-errs)
		assert.Equal(t, e.Outcome, beryllatch.OutcomeUnknown)
		assert.Equal(t, e.Reason, beryllatch.ReasonAnswerMismatch)
		_, ok := errors.AsType[*berylworker.MismatchError](e)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(k.Record()), 2)
}

// Guards against the second copy of an answer being taken for the answer to the next request.
func TestExecuteAfterDoubledAnswer(t *testing.T) {
	k := berylupstream.New(berylupstream.WithRun(0))
	address := serveWorker(t, k)
	c := berylworker.New(berylworker.WithMaxConns(1))
	for i := range 20 {
		assert.NilError(t, k.SetFaults(berylupstream.Faults{Doubled: berylupstream.Trigger{Next: 1}}))
		resp, err := c.Execute(t.Context(), execution(address, "first"), nil, strings.NewReader("first"))
		if err == nil {
			_, err = readAll(resp)
		}
		assert.NilError(t, err, "round %d", i)
		resp, err = c.Execute(t.Context(), execution(address, "second"), nil, strings.NewReader("second"))
		if err != nil {
			assert.Assert(t, failed(t, err).Outcome != beryllatch.OutcomeRefused)
			continue
		}
		assert.Equal(t, resp.Header.Get(berylworker.HeaderExecutionID), "second")
		_, err = readAll(resp)
		assert.NilError(t, err)
	}
}

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
		_, err := c.Execute(t.Context(), execution(srv.Listener.Addr().String(), "e1"), nil, strings.NewReader("x"))
		assert.Equal(t, failed(t, err).Reason, beryllatch.ReasonAnswerMismatch)
	}
	assert.Equal(t, conns.Load(), int32(3))
}

// Guards against "not run" said without the worker's word, and against a body sent to a worker that refuses.
func TestExecuteRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		state   string
		outcome beryllatch.ExecutionOutcome
	}{
		{"worker says not run", 503, "not_run", beryllatch.OutcomeRefused},
		{"conflict says not run", 409, "not_run", beryllatch.OutcomeRefused},
		{"503 without a word", 503, "", beryllatch.OutcomeAnswered},
		{"503 with an unknown word", 503, "unknown", beryllatch.OutcomeAnswered},
		{"redirect", 307, "", beryllatch.OutcomeAnswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(berylworker.HeaderExecutionID, r.Header.Get(berylworker.HeaderExecutionID))
				w.Header().Set(berylworker.HeaderRunState, tc.state)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, `{"reason":"no_slot"}`)
			})
			body := &countingReader{Reader: strings.NewReader("body")}
			resp, err := berylworker.New().Execute(t.Context(), execution(address, "e1"), nil, body)
			assert.Equal(t, body.reads.Load(), int32(0))
			if tc.outcome == beryllatch.OutcomeAnswered {
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, tc.status)
				assert.NilError(t, resp.Body.Close())
				return
			}
			e := failed(t, err)
			assert.Equal(t, e.Outcome, tc.outcome)
			s, ok := errors.AsType[*berylworker.StatusError](e)
			assert.Assert(t, ok)
			assert.Equal(t, s.Reason, "no_slot")
		})
	}
}

type countingReader struct {
	io.Reader
	reads atomic.Int32
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return r.Reader.Read(p)
}

// Guards against an unknown outcome for work that surely never left, which would forbid its retry.
func TestExecuteNotSent(t *testing.T) {
	refusing := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	hanging := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answering := serveHandler(t, func(http.ResponseWriter, *http.Request) { t.Error("the worker was reached") })
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct {
		name    string
		ctx     context.Context
		client  *berylworker.Client
		startBy time.Duration
		reason  beryllatch.Reason
	}{
		{
			"dial fails", t.Context(), berylworker.New(berylworker.WithDial(refusing)), time.Minute,
			beryllatch.ReasonWorkerUnreachable,
		},
		{
			"dial outlasts start-by", t.Context(), berylworker.New(berylworker.WithDial(hanging)), 20 * time.Millisecond,
			beryllatch.ReasonWorkerUnreachable,
		},
		{
			"start-by has passed", t.Context(), berylworker.New(), -time.Nanosecond,
			beryllatch.ReasonWorkerUnreachable,
		},
		{"caller has gone", cancelled, berylworker.New(), time.Minute, beryllatch.ReasonCallerGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := execution(answering, "e1")
			e.StartBy = time.Now().Add(tc.startBy)
			_, err := tc.client.Execute(tc.ctx, e, nil, strings.NewReader("body"))
			got := failed(t, err)
			assert.Equal(t, got.Outcome, beryllatch.OutcomeNotSent, "got %v", err)
			assert.Equal(t, got.Reason, tc.reason)
		})
	}
}

// Guards against a body that is sent after start-by to a worker that never agreed to it.
func TestExecuteWithoutConsent(t *testing.T) {
	release := make(chan struct{})
	address := serveHandler(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	e := execution(address, "e1")
	e.StartBy = time.Now().Add(200 * time.Millisecond)
	body := &countingReader{Reader: strings.NewReader("body")}
	_, err := berylworker.New().Execute(t.Context(), e, nil, body)
	got := failed(t, err)
	assert.ErrorIs(t, got, berylworker.ErrStartByPassed)
	assert.Equal(t, body.reads.Load(), int32(0))
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
			resp, err := c.Execute(t.Context(), execution(address, "e1"), h, strings.NewReader("first"))
			assert.NilError(t, err)
			_, err = readAll(resp)
			assert.NilError(t, err)
			_, err = c.Execute(t.Context(), execution(address, "e1"), h, tc.body)
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

// Guards against an answer whose end is told only by the end of the connection being taken for a whole one.
func TestExecuteUnframedAnswer(t *testing.T) {
	address := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+berylworker.HeaderExecutionID+": e1\r\n\r\npart")
		_ = c.Close()
	})
	_, err := berylworker.New().Execute(t.Context(), execution(address, "e1"), nil, strings.NewReader("body"))
	assert.ErrorIs(t, failed(t, err), berylworker.ErrUnframed)
}

// Guards against more connections to a worker than it accepts.
func TestMaxConns(t *testing.T) {
	k := berylupstream.New(berylupstream.WithConnections(2), berylupstream.WithRun(time.Millisecond))
	address := serveWorker(t, k)
	c := berylworker.New(berylworker.WithMaxConns(2))
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			resp, err := c.Execute(t.Context(), execution(address, "e1"), nil, strings.NewReader("x"))
			if err == nil {
				_, err = readAll(resp)
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.NilError(t, <-errs)
	}
}
