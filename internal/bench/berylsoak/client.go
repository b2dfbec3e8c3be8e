package berylsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 3 * time.Second

// job is a job of the soak and what its client was answered.
type job struct {
	id string
	// key is that of the job's team.
	key            string
	accepted, done bool
	// refusals counts the refused submissions.
	refusals int
	// unknown is true after an attempt whose outcome the client doesn't know.
	unknown bool
	// violation describes an answer that breaks the platform's rules; empty if there was none.
	violation string
}

type client struct {
	http  *http.Client
	hosts []string
	// pollInterval is the pause between two looks at a job's state.
	pollInterval time.Duration
	// retries is how often a refused submission is repeated after its Retry-After. With 0 the client doesn't read Retry-After.
	retries int
	// starts returns how many runs of a job have started.
	starts func(job string) int
}

// answer is what a daemon has answered.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
}

func (c *client) call(ctx context.Context, rng *rand.Rand, method string, j *job, body string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	host := c.hosts[rng.IntN(len(c.hosts))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+"/q/"+j.id, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Host = soakHost
	req.Header.Set("Authorization", "Token "+j.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // Without one it is 0.
	return answer{resp.StatusCode, string(b), time.Duration(seconds) * time.Second}, err
}

// givesUp reports whether the client doesn't repeat a submission after its latest refusal.
func (c *client) givesUp(rng *rand.Rand, j *job) bool {
	if c.retries > 0 {
		return j.refusals > c.retries
	}
	return rng.IntN(2) == 0
}

// submit submits the job, and repeats that while the outcome is unknown, until ctx ends. After a refusal it gives up with a probability
// of one half, or after the client's number of retries.
func (c *client) submit(ctx context.Context, rng *rand.Rand, j *job, body string) {
	for ctx.Err() == nil {
		if j.refusals > 0 && !j.unknown && c.starts(j.id) > 0 {
			return // The evaluation reports it. If the submission were repeated, the job would count as accepted.
		}
		a, err := c.call(ctx, rng, http.MethodPost, j, body)
		pause := 200 * time.Millisecond
		switch {
		case err == nil && a.status == http.StatusOK:
			j.accepted = true
			return
		case err != nil || a.status == http.StatusGatewayTimeout:
			j.unknown = true
		case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
			j.refusals++
			if c.givesUp(rng, j) {
				return
			}
			if c.retries > 0 {
				pause = max(pause, a.retryAfter)
			}
		default:
			j.violation = fmt.Sprintf("job %s: submission is answered %d %s", j.id, a.status, a.body)
			return
		}
		sleep(ctx, pause)
	}
}

// awaitDone polls the state of the job until it is done. It returns false if ctx ends before, or if the job has failed
// or is unknown.
func (c *client) awaitDone(ctx context.Context, rng *rand.Rand, j *job) bool {
	for ctx.Err() == nil {
		a, err := c.call(ctx, rng, http.MethodGet, j, "")
		var state struct {
			State string `json:"state"`
		}
		if err == nil && a.status == http.StatusOK {
			if err := json.Unmarshal([]byte(a.body), &state); err == nil {
				switch state.State {
				case "done":
					return true
				case "failed", "cancelled":
					j.violation = fmt.Sprintf("job %s is shown as %s without cause", j.id, state.State)
					return false
				}
			}
		}
		if err == nil && a.status == http.StatusGone {
			j.violation = fmt.Sprintf("job %s was accepted and is not known", j.id)
			return false
		}
		sleep(ctx, c.pollInterval)
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
