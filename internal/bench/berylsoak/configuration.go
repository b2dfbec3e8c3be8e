package berylsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

const (
	// slowLink is the bandwidth of slow links in bytes a second: 4 Mbit/s.
	slowLink = 500_000
	// largeConfiguration is how many public queues make a configuration of about 0.35 MB, which takes a second over a slow link.
	largeConfiguration = 2000
	// configurationDelay is how long after its confirmation a change may come into force, as the settings say.
	configurationDelay = 2 * time.Second
	// checkInterval is the pause between two checks.
	checkInterval = 20 * time.Millisecond
)

// version is a configuration that the operator has stored.
type version struct {
	berylfleet.Configuration
	sent, confirmed time.Time
}

// check is a request whose answer depends on the configuration.
type check struct {
	daemon string
	// prefix is the public queue that was asked for, or key the key that was used.
	prefix, key    string
	sent, answered time.Time
	allowed        bool
}

// changes holds the operator's changes and the checks.
type changes struct {
	mu       sync.Mutex
	versions []version
	checks   []check
}

// changeConfiguration stores versions, some in quick succession, until the given time. Each adds a public queue and a key, and removes an
// older one of each.
func (r *soakRun) changeConfiguration(end time.Time) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<33)) //nolint:gosec // The same seed must give the same soak.
	c := r.configuration()
	growth := 2 + rng.IntN(4)
	for n := 2; time.Now().Before(end) && r.ctx.Err() == nil; n++ {
		c.Version += 1 + rng.IntN(3)
		c.Public, c.Keys = slices.Clone(c.Public), slices.Clone(c.Keys)
		if n == growth {
			for i := range largeConfiguration {
				c.Public = append(c.Public, fmt.Sprintf("/large/%d/", i))
			}
			r.recordFault("the configuration grows to %d queues", len(c.Public))
		}
		c.Public = append([]string{fmt.Sprintf("/c/%d/", c.Version)}, c.Public...)
		c.Keys = append(c.Keys, fmt.Sprintf("key-%d", c.Version))
		if n%2 == 0 && len(c.Keys) > 3 {
			c.Public = slices.Delete(c.Public, 2, 3)
			c.Keys = slices.Delete(c.Keys, 1, 2)
		}
		v := version{Configuration: c, sent: time.Now()}
		r.store.Put(c.Row())
		v.confirmed = time.Now()
		r.changes.mu.Lock()
		r.changes.versions = append(r.changes.versions, v)
		r.changes.mu.Unlock()
		pause := 100 + rng.IntN(200)
		if rng.IntN(4) == 0 {
			pause += 2500
		}
		sleep(r.ctx, time.Duration(pause)*time.Millisecond)
	}
}

// checkConfiguration asks the daemons for queues, and with keys, of recent versions until the given time.
func (r *soakRun) checkConfiguration(end time.Time) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<34)) //nolint:gosec // The same seed must give the same soak.
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var wg sync.WaitGroup
	for time.Now().Before(end) && r.ctx.Err() == nil {
		sleep(r.ctx, checkInterval)
		r.changes.mu.Lock()
		versions := r.changes.versions
		r.changes.mu.Unlock()
		if len(versions) == 0 {
			continue
		}
		number := versions[len(versions)-1-rng.IntN(min(len(versions), 16))].Version
		c := check{daemon: r.daemons[rng.IntN(len(r.daemons))].ip}
		if rng.IntN(2) == 0 {
			c.prefix = fmt.Sprintf("/c/%d/", number)
		} else {
			c.key = fmt.Sprintf("key-%d", number)
		}
		wg.Go(func() { r.changes.ask(r.ctx, client, c) })
	}
	wg.Wait()
}

// ask sends a check and records the answer if the daemon decided by its configuration.
func (h *changes) ask(ctx context.Context, client *http.Client, c check) {
	path := c.prefix
	if path == "" {
		path = "/q/"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", c.daemon, callersPort, path), nil)
	if err != nil {
		return
	}
	req.Host = soakHost
	if c.key != "" {
		req.Header.Set("Authorization", "Token "+c.key)
	}
	c.sent = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return // The daemon is down or paused.
	}
	_ = resp.Body.Close() // Only the status counts.
	c.answered = time.Now()
	switch resp.StatusCode {
	case http.StatusOK:
		c.allowed = true
	case http.StatusNotFound, http.StatusUnauthorized:
	default:
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks = append(h.checks, c)
}

// evaluate appends a violation for each answer that no version explains which might have been in force, and returns the number of
// answers.
func (h *changes) evaluate(violations []string) (int, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.checks {
		explained, oldest := false, 0
		for i, v := range h.versions {
			replaced := i+1 < len(h.versions) && h.versions[i+1].confirmed.Before(c.sent.Add(-configurationDelay))
			if replaced || v.sent.After(c.answered) {
				continue
			}
			if oldest == 0 {
				oldest = v.Version
			}
			if c.allowed == (slices.Contains(v.Public, c.prefix) || slices.Contains(v.Keys, c.key)) {
				explained = true
				break
			}
		}
		// Until the first change has been due for long enough, version 1 may be in force, which has none of the queues and keys.
		if !c.allowed && !h.versions[0].confirmed.Before(c.sent.Add(-configurationDelay)) {
			explained = true
		}
		if !explained {
			violations = append(violations, fmt.Sprintf("%s answered %q with key %q as no version from %d on says: allowed is %t",
				c.daemon, c.prefix, c.key, oldest, c.allowed))
		}
	}
	return len(h.checks), violations
}
