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

// job is a job of the soak with what its client was told.
type job struct {
	id       string
	accepted bool
	// open is true after a try without a definite answer.
	open bool
	// problem is a broken promise.
	problem string
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

// submit hands the job in, again and again while the answers leave it open, until ctx ends.
func (c *client) submit(ctx context.Context, rng *rand.Rand, j *job, body string) {
	for ctx.Err() == nil {
		status, text, err := c.call(ctx, rng, http.MethodPost, j.id, body)
		switch {
		case err == nil && status == http.StatusOK:
			j.accepted = true
			return
		case err != nil || status == http.StatusGatewayTimeout:
			j.open = true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if rng.IntN(2) == 0 {
				return
			}
		default:
			j.problem = fmt.Sprintf("job %s: submission is answered %d %s", j.id, status, text)
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// await asks for the state until the job is done or ctx ends.
func (c *client) await(ctx context.Context, rng *rand.Rand, j *job) bool {
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
					j.problem = fmt.Sprintf("job %s is shown as %s without cause", j.id, state.State)
					return false
				}
			}
		}
		if err == nil && status == http.StatusGone {
			j.problem = fmt.Sprintf("job %s was accepted and is not known", j.id)
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
