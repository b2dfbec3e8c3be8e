package berylworker_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// serveWorker serves the stand-in worker on loopback and returns its address.
func serveWorker(t *testing.T, worker *berylupstream.Worker) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(worker.Handler())
	worker.Configure(srv.Config)
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

// executionError checks that the error is a *beryllatch.ExecutionError and returns it.
func executionError(t *testing.T, err error) *beryllatch.ExecutionError {
	t.Helper()
	e, ok := errors.AsType[*beryllatch.ExecutionError](err)
	assert.Assert(t, ok, "got %v", err)
	return e
}

// execute sends the body and reads the complete answer.
func execute(
	ctx context.Context, c *berylworker.Client, e beryllatch.Execution, h http.Header, body io.Reader,
) (http.Header, string, error) {
	resp, err := c.Execute(ctx, e, h, body)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.Header, string(b), err
}

// Guards against a request or an answer that loses its body or the ids of the execution on the way.
func TestExecuteAnswered(t *testing.T) {
	worker := berylupstream.New()
	address := serveWorker(t, worker)
	h := http.Header{
		berylupstream.HeaderAnswerBytes: {"200000"}, berylupstream.HeaderRunMS: {"0"},
		berylworker.HeaderRequestID: {"r1"}, "Authorization": {"Bearer secret"}, "Connection": {"close"},
	}
	header, body, err := execute(t.Context(), berylworker.New(), execution(address, "e1"), h, strings.NewReader("body"))
	assert.NilError(t, err)
	assert.Equal(t, len(body), 200000)
	assert.Equal(t, h.Get("Authorization"), "Bearer secret", "the caller's header must not be changed")
	record := worker.Record()
	assert.Equal(t, len(record), 1)
	got := record[0]
	assert.Equal(t, got.ID+" "+got.RequestID+" "+got.Team+" "+got.Queue+" "+got.Outcome, "e1 r1 team queue done")
	assert.Equal(t, header.Get(berylupstream.HeaderBodySum), got.BodySum)
	assert.Equal(t, body[:64], got.BodySum)
}

// Guards against a request body that arrives changed or not at all, for each kind of reader that a caller may pass.
func TestExecuteBodies(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for _, tc := range []struct {
		name   string
		body   io.Reader
		header http.Header
		want   string
	}{
		{"nil", nil, nil, ""},
		{"nil with a length", nil, http.Header{"Content-Length": {"4"}}, ""},
		{"http.NoBody", http.NoBody, nil, ""},
		{"known length", strings.NewReader("body"), nil, "body"},
		{"unknown length", io.MultiReader(strings.NewReader(large)), nil, large},
		{"length from the header", io.MultiReader(strings.NewReader("body")), http.Header{"Content-Length": {"4"}}, "body"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worker := berylupstream.New(berylupstream.WithRun(0))
			e := execution(serveWorker(t, worker), "e1")
			_, digest, err := execute(t.Context(), berylworker.New(), e, tc.header, tc.body)
			assert.NilError(t, err)
			assert.Equal(t, digest, fmt.Sprintf("%x", sha256.Sum256([]byte(tc.want))))
		})
	}
}

// Guards against a fault of the worker being reported as "not run" or as an answer.
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
			worker := berylupstream.New(berylupstream.WithRun(0))
			assert.NilError(t, worker.SetFaults(tc.faults))
			e := execution(serveWorker(t, worker), "e1")
			e.StartBy = time.Now().Add(tc.startBy)
			_, _, err := execute(t.Context(), berylworker.New(), e, nil, strings.NewReader("body"))
			assert.Equal(t, len(worker.Record()), tc.starts)
			switch tc.outcome {
			case "":
				// The client and the worker both reject the request at start-by, and either may be first. Every outcome except
				// an answer is correct.
				assert.Assert(t, executionError(t, err).Outcome != beryllatch.OutcomeAnswered)
			case beryllatch.OutcomeAnswered:
				assert.NilError(t, err)
			default:
				got := executionError(t, err)
				assert.Equal(t, got.Outcome, tc.outcome)
				assert.Equal(t, got.Reason, tc.reason)
			}
		})
	}
}

// Guards against one caller receiving another caller's answer.
func TestExecuteCrossedAnswers(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithRun(0))
	assert.NilError(t, worker.SetFaults(berylupstream.Faults{Crossed: berylupstream.Trigger{Next: 2}}))
	address := serveWorker(t, worker)
	c := berylworker.New()
	errs := make(chan error, 2)
	for _, id := range []string{"e1", "e2"} {
		go func() {
			_, _, err := execute(t.Context(), c, execution(address, id), nil, strings.NewReader(id))
			errs <- err
		}()
	}
	for range 2 {
		e := executionError(t, <-errs)
		assert.Equal(t, e.Outcome, beryllatch.OutcomeUnknown)
		assert.Equal(t, e.Reason, beryllatch.ReasonAnswerMismatch)
		_, ok := errors.AsType[*berylworker.MismatchError](e)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(worker.Record()), 2)
}

// Proves that TestExecuteCrossedAnswers depends on the check of the execution id: without it, callers receive each
// other's answers.
func TestCrossedAnswersNeedTheCheck(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithRun(0))
	assert.NilError(t, worker.SetFaults(berylupstream.Faults{Crossed: berylupstream.Trigger{Next: 2}}))
	address := serveWorker(t, worker)
	c := berylworker.New(berylworker.WithSkipAnswerCheck())
	crossed := make(chan bool, 2)
	for _, id := range []string{"e1", "e2"} {
		go func() {
			header, _, err := execute(t.Context(), c, execution(address, id), nil, strings.NewReader(id))
			crossed <- err == nil && header.Get(berylworker.HeaderExecutionID) != id
		}()
	}
	for range 2 {
		assert.Assert(t, <-crossed, "the answers were not crossed")
	}
}

// Guards against the second copy of a doubled answer being taken for the answer to the next request.
func TestExecuteAfterDoubledAnswer(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithRun(0))
	address := serveWorker(t, worker)
	c := berylworker.New(berylworker.WithMaxConns(1))
	for i := range 5 {
		assert.NilError(t, worker.SetFaults(berylupstream.Faults{Doubled: berylupstream.Trigger{Next: 1}}))
		_, _, err := execute(t.Context(), c, execution(address, "first"), nil, strings.NewReader("first"))
		assert.NilError(t, err, "round %d", i)
		header, _, err := execute(t.Context(), c, execution(address, "second"), nil, strings.NewReader("second"))
		if err != nil {
			assert.Assert(t, executionError(t, err).Outcome != beryllatch.OutcomeRefused)
			continue
		}
		assert.Equal(t, header.Get(berylworker.HeaderExecutionID), "second")
	}
}

// Guards against an answer with neither a length nor chunked encoding being taken for a complete one: a broken connection
// looks like its end.
func TestExecuteUnframedAnswer(t *testing.T) {
	address := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+berylworker.HeaderExecutionID+": e1\r\n\r\npart")
		_ = c.Close()
	})
	_, _, err := execute(t.Context(), berylworker.New(), execution(address, "e1"), nil, strings.NewReader("body"))
	assert.ErrorIs(t, executionError(t, err), berylworker.ErrUnframed)
}

// Guards against opening more connections to a worker than it accepts.
func TestMaxConns(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithConnections(2), berylupstream.WithRun(time.Millisecond))
	address := serveWorker(t, worker)
	c := berylworker.New(berylworker.WithMaxConns(2))
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			_, _, err := execute(t.Context(), c, execution(address, "e1"), nil, strings.NewReader("x"))
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.NilError(t, <-errs)
	}
}
