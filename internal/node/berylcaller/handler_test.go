package berylcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylproblem"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
)

// fakeNode dispatches each request immediately and handles the outcome of an attempt: it finishes an answered request,
// dispatches a replayable one again up to retries times, and refuses any other.
type fakeNode struct {
	mu            sync.Mutex
	effects       map[string]chan berylreducer.Effect
	endedEvents   []berylreducer.ExecutionEnded
	stoppedEvents []berylreducer.ExecutionStopped
	retries       int
}

func (n *fakeNode) Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect {
	n.mu.Lock()
	defer n.mu.Unlock()
	ch := make(chan berylreducer.Effect, 8)
	n.effects[e.ID] = ch
	ch <- dispatch(e.ID, 1)
	return ch
}

func (n *fakeNode) Post(e berylreducer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if x, ok := e.(berylreducer.ExecutionStopped); ok {
		n.stoppedEvents = append(n.stoppedEvents, x)
	}
	x, ok := e.(berylreducer.ExecutionEnded)
	if !ok {
		return
	}
	n.endedEvents = append(n.endedEvents, x)
	ch := n.effects[x.ID]
	switch {
	case x.Outcome == beryllatch.OutcomeAnswered:
		ch <- berylreducer.Finish{ID: x.ID}
	case n.retries > 0 && x.Replayable:
		n.retries--
		ch <- dispatch(x.ID, x.Attempt+1)
	default:
		ch <- berylreducer.Refuse{ID: x.ID, Refusal: beryllatch.Refusal{
			Reason: x.Reason, RunState: beryllatch.RunStateUnknown,
		}}
	}
}

func (n *fakeNode) Release(string) {}

func (n *fakeNode) KeepAnswer(string, beryldaemon.Answer) {}

func dispatch(id string, attempt int) berylreducer.Dispatch {
	return berylreducer.Dispatch{
		ID: id, Attempt: attempt, AnswerBy: berylreducer.Instant{Wall: time.Now().Add(time.Minute)},
	}
}

// fakeUpstream is a worker that computes its answer from the body; it reports every execution as ended.
type fakeUpstream func(body []byte) (*http.Response, error)

func (f fakeUpstream) Execute(
	_ context.Context, _ beryllatch.Execution, _ http.Header, body io.Reader,
) (*http.Response, error) {
	b, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	return f(b)
}

func (f fakeUpstream) Settle(context.Context, beryllatch.Execution, time.Time) (beryllatch.ExecutionState, error) {
	return beryllatch.ExecutionEnded, nil
}

func respond(body io.Reader, length int64) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(body), Header: http.Header{},
	}
}

// truncatedReader delivers n bytes, then fails like the body of an answer whose connection was closed early.
type truncatedReader struct{ n int }

func (c *truncatedReader) Read(p []byte) (int, error) {
	if c.n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), c.n)
	c.n -= n
	return n, nil
}

func serve(t *testing.T, n *fakeNode, u fakeUpstream) *httptest.Server {
	t.Helper()
	return serveHandler(t, n, &Handler{Node: n, Upstream: u})
}

func serveHandler(t *testing.T, n *fakeNode, h *Handler) *httptest.Server {
	t.Helper()
	n.effects = map[string]chan berylreducer.Effect{}
	r := mux.NewRouter()
	h.Register(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	return srv
}

func post(t *testing.T, srv *httptest.Server, body io.Reader, headers ...string) (int, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/queues/price/requests", body)
	assert.NilError(t, err)
	for n := 0; n < len(headers); n += 2 {
		req.Header.Add(headers[n], headers[n+1])
	}
	resp, err := srv.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// Guards against a truncated answer that the caller takes for complete, whether it is buffered or streamed.
func TestCutAnswer(t *testing.T) {
	t.Run("buffered", func(t *testing.T) {
		srv := serve(t, &fakeNode{}, func([]byte) (*http.Response, error) {
			return respond(&truncatedReader{n: 100}, 200), nil
		})
		status, b, err := post(t, srv, nil)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway)
		var p berylproblem.Problem
		assert.NilError(t, json.Unmarshal(b, &p))
		assert.Equal(t, p.RunState, beryllatch.RunStateUnknown)
		assert.Equal(t, p.Reason, beryllatch.ReasonAnswerLost)
	})
	t.Run("streamed", func(t *testing.T) {
		for _, length := range []int64{-1, 4 << 20} {
			srv := serve(t, &fakeNode{}, func([]byte) (*http.Response, error) {
				return respond(&truncatedReader{n: 2 << 20}, length), nil
			})
			_, _, err := post(t, srv, nil)
			assert.Assert(t, err != nil, "the caller took a truncated answer of declared length %d for complete", length)
		}
	})
}

// Guards against a TestCutAnswer that passes without the code that it tests: if the handler ignores the read error, the
// caller must get the truncated answer as a complete one.
func TestCutAnswerNeedsTheCheck(t *testing.T) {
	for _, size := range []int{100, 2 << 20} {
		n := &fakeNode{}
		srv := serveHandler(t, n, &Handler{Node: n, ignoreTruncation: true, Upstream: fakeUpstream(func([]byte) (*http.Response, error) {
			return respond(&truncatedReader{n: size}, -1), nil
		})})
		status, b, err := post(t, srv, nil)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(b), size, "the caller did not get the whole part")
	}
}

// Guards against a second attempt that sends an empty or partial body.
func TestRetrySendsWholeBody(t *testing.T) {
	body := bytes.Repeat([]byte("x"), replayLimit)
	var got [][]byte
	n := &fakeNode{retries: 1}
	srv := serve(t, n, func(b []byte) (*http.Response, error) {
		got = append(got, b)
		if len(got) == 1 {
			return nil, &beryllatch.ExecutionError{
				Outcome: beryllatch.OutcomeRefused, Reason: beryllatch.ReasonWorkerRefused, Err: errors.New("full"),
			}
		}
		return respond(strings.NewReader("done"), 4), nil
	})
	status, b, err := post(t, srv, bytes.NewReader(body))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, string(b), "done")
	assert.Equal(t, len(got), 2)
	assert.Assert(t, bytes.Equal(got[1], body))
}

// Guards against a second attempt with a streamed body of which the first attempt has read a part.
func TestStreamedBodyIsNotReplayable(t *testing.T) {
	n := &fakeNode{retries: 1}
	srv := serve(t, n, func([]byte) (*http.Response, error) {
		return nil, &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: errors.New("connection lost"),
		}
	})
	status, _, err := post(t, srv, bytes.NewReader(make([]byte, replayLimit+1)))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, len(n.endedEvents), 1)
	assert.Assert(t, !n.endedEvents[0].Replayable)
}

// Guards against a caller that gets parts of two answers, or an answer that arrived after a successful one, when two
// attempts run at the same time.
func TestWinner(t *testing.T) {
	ok, failed := &answer{status: http.StatusOK}, &answer{status: http.StatusInternalServerError}
	var w winner
	assert.NilError(t, w.setBuffered(1, failed))
	assert.NilError(t, w.setBuffered(2, ok))
	assert.ErrorIs(t, w.setBuffered(1, failed), errSuperseded)
	assert.ErrorIs(t, w.commit(1), errSuperseded)
	assert.Equal(t, w.buffered(), ok)
	var streamed winner
	assert.NilError(t, streamed.setBuffered(1, failed))
	assert.NilError(t, streamed.commit(2))
	assert.ErrorIs(t, streamed.setBuffered(1, ok), errSuperseded)
	assert.Assert(t, streamed.buffered() == nil && streamed.isCommitted())
}

// Guards against accepting ambiguous or malformed control headers.
func TestBadHeaders(t *testing.T) {
	tests := map[string][]string{
		"repeated key":        {berylheader.IdempotencyKey, "a", berylheader.IdempotencyKey, "b"},
		"long key":            {berylheader.IdempotencyKey, strings.Repeat("a", berylheader.MaxKeyLength+1)},
		"idempotent mark":     {berylheader.Idempotent, "yes"},
		"negative deadline":   {berylheader.Deadline, "-1"},
		"deadline not number": {berylheader.Deadline, "soon"},
		"request id":          {berylheader.RequestID, "a b"},
		"no bearer":           {"Authorization", "Basic abc"},
		"empty bearer":        {"Authorization", "Bearer "},
	}
	for name, headers := range tests {
		t.Run(name, func(t *testing.T) {
			n := &fakeNode{}
			srv := serve(t, n, nil)
			status, b, err := post(t, srv, nil, headers...)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusBadRequest)
			assert.Assert(t, bytes.Contains(b, []byte(`"run_state":"not_run"`)), "%s", b)
			assert.Equal(t, len(n.effects), 0)
		})
	}
}

// Guards against a refusal without the caller's own request id.
func TestRequestIDInRefusal(t *testing.T) {
	srv := serve(t, &fakeNode{}, func([]byte) (*http.Response, error) { return respond(&truncatedReader{n: 1}, 2), nil })
	_, b, err := post(t, srv, nil, berylheader.RequestID, "order-7")
	assert.NilError(t, err)
	var p berylproblem.Problem
	assert.NilError(t, json.Unmarshal(b, &p))
	assert.Equal(t, p.RequestID, "order-7")
}

// Guards against secrets and control headers that are passed on to a worker.
func TestPassRequest(t *testing.T) {
	dst := http.Header{}
	copyRequestHeaders(dst, http.Header{
		"Authorization": {"Bearer x"}, berylheader.IdempotencyKey: {"k"}, berylheader.Urgent: {"true"}, "Connection": {"close"},
		"X-Order": {"1", "2"}, "Content-Type": {"text/plain"},
	})
	assert.DeepEqual(t, dst, http.Header{"X-Order": {"1", "2"}, "Content-Type": {"text/plain"}})
}

// Guards against headers that cause a panic, and against accepting a negative deadline or a request id that is too
// long.
func FuzzParse(f *testing.F) {
	f.Add("Bearer x", "k", "true", "100", "id")
	f.Fuzz(func(t *testing.T, auth, key, idempotent, deadline, id string) {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		r.Header = http.Header{
			"Authorization": {auth}, berylheader.IdempotencyKey: {key}, berylheader.Idempotent: {idempotent}, berylheader.Deadline: {deadline},
			berylheader.RequestID: {id},
		}
		in, err := parseRequest(r)
		if in.id == "" {
			t.Fatal("no request id")
		}
		if err == nil && (in.deadline < 0 || len(in.callerID) > 64) {
			t.Fatalf("accepted %+v", in)
		}
	})
}
