package berylsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 3 * time.Second

// job is a job of the soak and what its client was answered.
type job struct {
	id       string
	accepted bool
	// unknown is true after an attempt whose outcome the client doesn't know.
	unknown bool
	// violation describes an answer that breaks the platform's rules; empty if there was none.
	violation string
}

type client struct {
	http  *http.Client
	hosts []string
}

func (c *client) call(ctx context.Context, rng *rand.Rand, method, id, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	host := c.hosts[rng.IntN(len(c.hosts))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = soakHost
	req.Header.Set("Authorization", "Token "+soakKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// submit submits the job, and repeats that while the outcome is unknown, until ctx ends. After each refusal it gives up
// with a probability of one half.
func (c *client) submit(ctx context.Context, rng *rand.Rand, j *job, body string) {
	for ctx.Err() == nil {
		status, text, err := c.call(ctx, rng, http.MethodPost, j.id, body)
		switch {
		case err == nil && status == http.StatusOK:
			j.accepted = true
			return
		case err != nil || status == http.StatusGatewayTimeout:
			j.unknown = true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if rng.IntN(2) == 0 {
				return
			}
		default:
			j.violation = fmt.Sprintf("job %s: submission is answered %d %s", j.id, status, text)
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// awaitDone polls the state of the job until it is done. It returns false if ctx ends before, or if the job has failed
// or is unknown.
func (c *client) awaitDone(ctx context.Context, rng *rand.Rand, j *job) bool {
	for ctx.Err() == nil {
		status, text, err := c.call(ctx, rng, http.MethodGet, j.id, "")
		var state struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK {
			if err := json.Unmarshal([]byte(text), &state); err == nil {
				switch state.State {
				case "done":
					return true
				case "failed", "cancelled":
					j.violation = fmt.Sprintf("job %s is shown as %s without cause", j.id, state.State)
					return false
				}
			}
		}
		if err == nil && status == http.StatusGone {
			j.violation = fmt.Sprintf("job %s was accepted and is not known", j.id)
			return false
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
