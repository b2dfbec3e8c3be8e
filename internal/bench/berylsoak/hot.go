package berylsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

const (
	// steadyKey and steadyWeight are those of the second team in a soak with bursts; the team that submits the bursts has a weight of 1.
	steadyKey    = "steady-key"
	steadyWeight = 3
	// hotBursts is the number of bursts and hotJobs the jobs of each, for each worker. A worker takes about 9 s for that many, while their
	// results are worthless 4.7 s after their submission. All of them together can be done within settleTime, if none is refused.
	hotBursts = 2
	hotJobs   = 24
	// hotRetries is how often a client repeats a refused submission.
	hotRetries = 4
	// hotPollInterval keeps the load of the clients that wait small beside that of the submissions.
	hotPollInterval = time.Second
	// firstHotJob is the number of the first job of the bursts; those of the other jobs are lower.
	firstHotJob = 1 << 24
)

// configuration returns the first version of the configuration.
func (r *soakRun) configuration() berylfleet.Configuration {
	c := berylfleet.Configuration{Version: 1, Host: soakHost, Keys: []string{soakKey}, Ceiling: teamCeiling}
	if r.Hot {
		// The ceiling would hold the bursts back before the fleet is full.
		c.Ceiling = 0
		c.Teams = []berylfleet.Team{{Name: "steady", Key: steadyKey, Weight: steadyWeight}}
	}
	return c
}

// submitBursts submits bursts of jobs, spread over the duration of the soak, and returns the jobs.
func (r *soakRun) submitBursts(settling context.Context, c *client, clients *sync.WaitGroup) []*job {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<38)) //nolint:gosec // The same seed must give the same soak.
	var jobs []*job
	for n := range hotBursts {
		r.recordFault("burst %d of %d jobs", n, hotJobs*r.Workers)
		for range hotJobs * r.Workers {
			number := firstHotJob + len(jobs)
			j := r.newJob(number)
			jobs = append(jobs, j)
			width, cpu := 1+rng.IntN(6), 500+rng.IntN(3000)
			r.fleet.Expect(j.id, berylfleet.Needs{CPU: cpu, Memory: 200})
			clients.Go(func() { r.runJob(settling, c, j, number, jobBody(width, cpu, soakEstimate, "")) })
		}
		sleep(r.ctx, r.Duration/hotBursts)
	}
	return jobs
}
