package berylworker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Client calls workers over HTTP. It implements beryllatch.Upstream and beryllatch.TaskRunner.
type Client struct {
	cfg       settings
	transport *http.Transport
}

var (
	_ beryllatch.Upstream   = (*Client)(nil)
	_ beryllatch.TaskRunner = (*Client)(nil)
)

// New returns a client, which can call any worker.
func New(opts ...Option) *Client {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	return &Client{cfg: cfg, transport: cfg.transport()}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Execute sends the body to the worker and returns its answer; an error is a *beryllatch.ExecutionError. If the answer
// is truncated, a read of its body returns a *beryllatch.ExecutionError with OutcomeUnknown.
func (c *Client) Execute(
	ctx context.Context, e beryllatch.Execution, h http.Header, body io.Reader,
) (*http.Response, error) {
	x := exchange{
		method: http.MethodPost, address: e.Address, path: PathExecutions, id: e.ID,
		header: executionHeader(e, h), body: body, expectContinue: true,
		startBy: stripMonotonic(e.StartBy),
	}
	if !e.LeaseExpiry.IsZero() {
		x.answerBy = stripMonotonic(e.LeaseExpiry).Add(ClockSkew)
	}
	return c.do(ctx, x)
}

// droppedHeaders are not passed on to workers: they concern the caller's own connection or hold its credentials.
var droppedHeaders = []string{
	"Authorization", "Connection", "Cookie", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// executionHeader returns the caller's header without droppedHeaders, and with the headers that describe the execution.
func executionHeader(e beryllatch.Execution, h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, k := range droppedHeaders {
		out.Del(k)
	}
	set := func(k, v string) {
		out.Del(k)
		if v != "" {
			out.Set(k, v)
		}
	}
	set(HeaderTeam, e.Team)
	set(HeaderQueue, e.Queue)
	set(HeaderStartBy, formatTime(e.StartBy))
	set(HeaderLeaseExpiry, formatTime(e.LeaseExpiry))
	set(HeaderFence, strconv.FormatUint(e.Fence, 10))
	return out
}

// stripMonotonic removes the monotonic clock reading, so that comparisons use the wall clock: the monotonic clock stops
// while a machine is suspended.
func stripMonotonic(t time.Time) time.Time { return t.Round(0) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
