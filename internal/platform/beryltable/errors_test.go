package beryltable_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// outcome names the outcome that the error of a write reports.
func outcome(err error) string {
	if _, ok := errors.AsType[*beryllatch.UnavailableError](err); ok {
		return "unavailable"
	}
	if _, ok := errors.AsType[*beryllatch.UnknownOutcomeError](err); ok {
		return "unknown"
	}
	if _, ok := errors.AsType[*beryllatch.ConditionFailedError](err); ok {
		return "condition"
	}
	if err != nil {
		return "other: " + err.Error()
	}
	return "done"
}

// Guards against a write being reported as failed although it took effect, and the reverse.
func TestWriteUnderPlatformFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  berylplatform.ServiceFaults
		want    string
		applied bool
	}{
		{"none", berylplatform.ServiceFaults{}, "done", true},
		{"connections refused", berylplatform.ServiceFaults{Outage: berylplatform.OutageRefuse}, "unavailable", false},
		{"answered 503", berylplatform.ServiceFaults{Outage: berylplatform.OutageUnavailable}, "unavailable", false},
		{"answer lost", berylplatform.ServiceFaults{AnswerLostNext: 1}, "unknown", true},
		{"every answer lost", berylplatform.ServiceFaults{AnswerLostShare: 1}, "unknown", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := berylplatform.New()
			c := newTable(t, p)
			assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{Table: tc.faults}))
			got := outcome(c.Transact(t.Context(), write("a", "v", 0)))
			assert.Equal(t, got, tc.want)
			assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{}))
			row, err := c.Get(t.Context(), key("a"))
			assert.NilError(t, err)
			assert.Equal(t, row.Version == 1, tc.applied)
		})
	}
}

// Guards against a write being reported as failed when the service closes a reused connection without an answer.
func TestWriteOnCutConnection(t *testing.T) {
	var sent atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if sent.Swap(true) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		_, _ = io.WriteString(w, `{}`)
	}))
	defer srv.Close()
	c := beryltable.New(berylcall.WithEndpoint(srv.URL))
	assert.NilError(t, c.Transact(t.Context(), write("a", "v", 0)))
	assert.Equal(t, outcome(c.Transact(t.Context(), write("b", "v", 0))), "unknown")
}

// Guards against a write that was rejected by the rate limit being reported as one with an unknown outcome.
func TestWriteThrottled(t *testing.T) {
	c := newTable(t, berylplatform.New(berylplatform.WithRates(1, 1)))
	var last error
	n := 0
	for ; last == nil && n < 1000; n++ {
		last = c.Transact(t.Context(), write("a", "v", uint64(n)))
	}
	assert.Equal(t, outcome(last), "unavailable")
	row, err := c.Get(t.Context(), key("a"))
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(n-1))
}

// Guards against an answer or a failure being classified as certain although the write may have taken effect, and the
// reverse.
func TestWriteClassification(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	cancelled := func(reasons string) http.HandlerFunc {
		return answer(400, `{"__type":"TransactionCanceledException","CancellationReasons":[`+reasons+`]}`)
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"done", answer(200, `{}`), "done"},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"a":`)
		}, "unknown"},
		{"damaged answer", answer(200, `{"`), "unknown"},
		{"cut without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unknown"},
		{"500", answer(500, `{"__type":"InternalServerError"}`), "unknown"},
		{"502", answer(502, `bad gateway`), "unknown"},
		{"504", answer(504, ``), "unknown"},
		{"503", answer(503, ``), "unavailable"},
		{"408", answer(408, ``), "unknown"},
		{"redirect", answer(307, ``), "unknown"},
		{"validation", answer(400, `{"__type":"ValidationException"}`), "unavailable"},
		{"throttled", answer(400, `{"__type":"ThrottlingException"}`), "unavailable"},
		{"in progress", answer(400, `{"__type":"TransactionInProgressException"}`), "unknown"},
		{"conflict", cancelled(`{"Code":"TransactionConflict"}`), "unavailable"},
		{"condition", cancelled(`{"Code":"ConditionalCheckFailed"}`), "condition"},
		{"cancelled without reasons", cancelled(``), "unavailable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tc.handler(w, r)
			}))
			defer srv.Close()
			c := beryltable.New(berylcall.WithEndpoint(srv.URL))
			assert.Equal(t, outcome(c.Transact(t.Context(), write("a", "v", 0))), tc.want)
			// The client retries nothing.
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

// Guards against a write being reported as failed when the caller cancels it while the service carries it out.
func TestWriteGivenUp(t *testing.T) {
	release := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-release
	}))
	defer srv.Close()
	defer close(release)
	c := beryltable.New(berylcall.WithEndpoint(srv.URL))
	assert.Equal(t, outcome(c.Transact(ctx, write("a", "v", 0))), "unknown")
}

// Guards against a read that hangs while the service does not answer, or that is reported as having an unknown outcome.
func TestReadTimeout(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	c := beryltable.New(berylcall.WithEndpoint(srv.URL), berylcall.WithTimeout(20*time.Millisecond))
	_, err := c.Get(t.Context(), key("a"))
	assert.Equal(t, outcome(err), "unavailable")
	_, err = c.Query(t.Context(), "p", "", 1)
	assert.Equal(t, outcome(err), "unavailable")
}

// Guards against a write being reported as not sent with an HTTP client that doesn't count the bytes it sends.
func TestUncountedClient(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	c := beryltable.New(berylcall.WithEndpoint(srv.URL), berylcall.WithHTTPClient(&http.Client{}))
	assert.Equal(t, outcome(c.Transact(t.Context(), write("a", "v", 0))), "unknown")
}
