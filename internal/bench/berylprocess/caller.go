package berylprocess

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"
)

// Reply is the answer to one call as its caller received it.
type Reply struct {
	// Sent is the time just before the call was sent.
	Sent     time.Time `json:"-"`
	Status   int       `json:"-"`
	Body     []byte    `json:"-"`
	RunState string    `json:"run_state"`
	Reason   string    `json:"reason"`
	// Err is set if the caller received no complete answer, or an error answer that is not JSON.
	Err error `json:"-"`
}

// Answered reports whether the caller received a complete answer with status 200. For a request, that is a worker's answer.
func (r Reply) Answered() bool { return r.Err == nil && r.Status == http.StatusOK }

// NotRun reports whether the answer has the run state "not run".
func (r Reply) NotRun() bool { return r.Err == nil && r.RunState == "not_run" }

// Caller makes calls to one address with one key.
type Caller struct {
	// Address is the host and port of an entry daemon's listener for callers, or of the load balancer.
	Address string
	// Secret is the secret of the key; empty sends none.
	Secret string
	// Client is http.DefaultClient if it is nil.
	Client *http.Client
}

// Request sends one request with the given id to the queue; headers holds names and values alternately.
func (c Caller) Request(ctx context.Context, queue, id, body string, headers ...string) Reply {
	headers = append([]string{berylheader.RequestID, id}, headers...)
	return c.Do(ctx, http.MethodPost, "/v1/queues/"+queue+"/requests", body, headers...)
}

// Do makes one call with the caller's key; headers holds names and values alternately.
func (c Caller) Do(ctx context.Context, method, path, body string, headers ...string) Reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	if c.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	for n := 0; n < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Sent: sentAt, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	out := Reply{Sent: sentAt, Status: resp.StatusCode, Body: b, Err: err}
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		out.Err = json.Unmarshal(b, &out)
	}
	return out
}
