package berylsoak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
	beryladapter "github.com/beryllatch/beryllatch/platform"
	"gotest.tools/v3/assert"
)

// roundTripper answers requests without a network.
type roundTripper func(*http.Request) *http.Response

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r), nil }

// Daemons must read two teams of unequal weights without ceilings; otherwise nothing would be refused for the share of a team.
func TestTeamsOfHotSoak(t *testing.T) {
	row := (&soakRun{Soak: Soak{Hot: true}}).configuration().Row()
	d, err := beryladapter.View{}.Deployment(beryllatch.DataRow{Table: row.Table, Key: row.Key, Value: row.Value})
	assert.NilError(t, err)
	assert.DeepEqual(t, d.Teams, map[string]beryllatch.JobTeam{
		"t": {Name: "t", Weight: 1, Secrets: []string{soakKey}}, "steady": {Name: "steady", Weight: steadyWeight, Secrets: []string{steadyKey}},
	})
}

// A refused submission must be repeated after its Retry-After, not before, and the client must give up after its number of retries. If a run
// has started after a refusal, it must not be repeated: a daemon that runs a job which it has refused accepts the repetition.
func TestRefusedSubmissionsAreRepeatedAfterTheirRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		starts, refusals int
		sent             []time.Duration
	}{
		"not run": {0, 3, []time.Duration{0, 3 * time.Second, 6 * time.Second}},
		"run":     {1, 1, []time.Duration{0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var sent []time.Duration
				transport := roundTripper(func(*http.Request) *http.Response {
					sent = append(sent, time.Since(began))
					return &http.Response{
						StatusCode: http.StatusTooManyRequests, Header: http.Header{"Retry-After": {"3"}}, Body: io.NopCloser(strings.NewReader("")),
					}
				})
				client := &client{
					hosts: []string{"h"}, retries: 2, http: &http.Client{Transport: transport}, starts: func(string) int { return c.starts },
				}
				j := &job{id: "j"}
				client.submit(t.Context(), rand.New(rand.NewPCG(1, 1)), j, "") //nolint:gosec // A fixed seed is enough for a test.
				assert.DeepEqual(t, sent, c.sent)
				assert.Assert(t, !j.accepted && !j.unknown && j.refusals == c.refusals, "%+v", j)
			})
		})
	}
}

// The evaluation must report a run of a job whose submissions were all refused, and an accepted job that isn't done; it must not report a
// run of a job with an unknown outcome.
func TestEvaluationOfRefusedAndLostJobs(t *testing.T) {
	for name, c := range map[string]struct {
		job        job
		runs       bool
		violations int
	}{
		"refused":                          {job{refusals: 3}, false, 0},
		"refused and run":                  {job{refusals: 3}, true, 1},
		"refused after an unknown outcome": {job{refusals: 3, unknown: true}, true, 0},
		"accepted after refusals":          {job{refusals: 3, accepted: true, done: true}, true, 0},
		"accepted and lost":                {job{accepted: true}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := berylfleet.NewFleet(&berylfleet.Store{})
			w := f.Add("m", "p", "")
			f.Expect("j", berylfleet.Needs{CPU: 1000, Duration: time.Hour})
			if c.runs {
				req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/run-start", strings.NewReader(`{"task":"j.0.0.0","run_id":1,"deadline_ms":9000}`))
				req.Header.Set("X-Beryllatch-Expect-Instance", w.ID)
				w.ServeHTTP(httptest.NewRecorder(), req)
				assert.Equal(t, f.Starts("j"), 1)
			}
			c.job.id, c.job.key = "j", steadyKey
			r := (&soakRun{fleet: f}).evaluate([]*job{&c.job})
			assert.Equal(t, len(r.Violations), c.violations, "%v", r.Violations)
			assert.Equal(t, r.Refusals, c.job.refusals)
		})
	}
}
