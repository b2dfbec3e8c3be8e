package berylworker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Guards against "not run" being reported although the worker has not said so, and against a body being sent to a worker
// that refuses the request.
func TestExecuteRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		state   string
		outcome beryllatch.ExecutionOutcome
	}{
		{"worker says not run", 503, "not_run", beryllatch.OutcomeRefused},
		{"conflict says not run", 409, "not_run", beryllatch.OutcomeRefused},
		{"503 without a run state", 503, "", beryllatch.OutcomeAnswered},
		{"503 with the run state unknown", 503, "unknown", beryllatch.OutcomeAnswered},
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
			e := executionError(t, err)
			assert.Equal(t, e.Outcome, tc.outcome)
			s, ok := errors.AsType[*berylworker.StatusError](e)
			assert.Assert(t, ok)
			assert.Equal(t, s.Reason, "no_slot")
		})
	}
}

// countingReader counts the calls of Read.
type countingReader struct {
	io.Reader
	reads atomic.Int32
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return r.Reader.Read(p)
}

// Guards against an unknown outcome for a request that was certainly not sent: it would prevent a retry.
func TestExecuteNotSent(t *testing.T) {
	refusingDial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	hangingDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	address := serveHandler(t, func(http.ResponseWriter, *http.Request) { t.Error("the worker was reached") })
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
			"dial fails", t.Context(), berylworker.New(berylworker.WithDial(refusingDial)), time.Minute,
			beryllatch.ReasonWorkerUnreachable,
		},
		{
			"dial outlasts start-by", t.Context(), berylworker.New(berylworker.WithDial(hangingDial)), 20 * time.Millisecond,
			beryllatch.ReasonWorkerUnreachable,
		},
		{
			"start-by has passed", t.Context(), berylworker.New(), -time.Nanosecond,
			beryllatch.ReasonWorkerUnreachable,
		},
		{"caller has gone", cancelled, berylworker.New(), time.Minute, beryllatch.ReasonCallerGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := execution(address, "e1")
			e.StartBy = time.Now().Add(tc.startBy)
			_, _, err := execute(tc.ctx, tc.client, e, nil, strings.NewReader("body"))
			got := executionError(t, err)
			assert.Equal(t, got.Outcome, beryllatch.OutcomeNotSent, "got %v", err)
			assert.Equal(t, got.Reason, tc.reason)
		})
	}
}

// Guards against a body being sent after start-by to a worker that has not consented to the request.
func TestExecuteWithoutConsent(t *testing.T) {
	release := make(chan struct{})
	address := serveHandler(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	e := execution(address, "e1")
	e.StartBy = time.Now().Add(200 * time.Millisecond)
	body := &countingReader{Reader: strings.NewReader("body")}
	_, _, err := execute(t.Context(), berylworker.New(), e, nil, body)
	got := executionError(t, err)
	assert.ErrorIs(t, got, berylworker.ErrStartByPassed)
	assert.Equal(t, body.reads.Load(), int32(0))
}

// Guards against work on a connection beyond the worker's limit, and against the refusal of such a connection being taken
// for a lost answer.
func TestExecuteOnSurplusConnection(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithConnections(1), berylupstream.WithRun(0))
	address := serveWorker(t, worker)
	first := berylworker.New()
	_, _, err := execute(t.Context(), first, execution(address, "e1"), nil, strings.NewReader("x"))
	assert.NilError(t, err)
	// The first client keeps its connection, so that the second one's exceeds the limit.
	_, _, err = execute(t.Context(), berylworker.New(), execution(address, "e2"), nil, strings.NewReader("x"))
	e := executionError(t, err)
	assert.Equal(t, e.Outcome, beryllatch.OutcomeRefused)
	s, ok := errors.AsType[*berylworker.StatusError](e)
	assert.Assert(t, ok)
	assert.Equal(t, s.Reason, "too_many_connections")
	_, _, err = execute(t.Context(), first, execution(address, "e3"), nil, strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, len(worker.Record()), 2)
}
