package berylworker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Client is a beryllatch.Upstream and a beryllatch.TaskRunner.
type Client struct {
	cfg       settings
	transport *http.Transport
}

var (
	_ beryllatch.Upstream   = (*Client)(nil)
	_ beryllatch.TaskRunner = (*Client)(nil)
)

// New returns a client of all workers.
func New(opts ...Option) *Client {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	return &Client{cfg: cfg, transport: cfg.transport()}
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Execute sends the body and returns the worker's answer; an error is an *beryllatch.ExecutionError.
// A read from the answer's body that fails returns an *beryllatch.ExecutionError with OutcomeUnknown.
func (c *Client) Execute(
	ctx context.Context, e beryllatch.Execution, h http.Header, body io.Reader,
) (*http.Response, error) {
	x := exchange{
		method: http.MethodPost, address: e.Address, path: PathExecutions, id: e.ID,
		header: executionHeader(e, h), body: body, expect: true,
		startBy: wall(e.StartBy),
	}
	if !e.LeaseExpiry.IsZero() {
		x.answerBy = wall(e.LeaseExpiry).Add(ClockSkew)
	}
	return c.do(ctx, x)
}

// hopHeaders belong to the caller's connection or are secrets of the caller; none of them is passed on.
var hopHeaders = []string{
	"Authorization", "Connection", "Cookie", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func executionHeader(e beryllatch.Execution, h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, k := range hopHeaders {
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

// wall drops the monotonic reading, which stands still while a machine is suspended.
func wall(t time.Time) time.Time { return t.Round(0) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
