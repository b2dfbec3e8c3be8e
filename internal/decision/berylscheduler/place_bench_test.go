package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// poolLoad is what jobs ask of the pools of a benchmark.
type poolLoad struct {
	teams int
	// jobs is how many jobs are submitted; with waiting steps given, jobs are submitted until there are that many.
	jobs, waitingSteps int
	// readySteps is how many steps of a job can start at once. One more step of each job comes after them.
	readySteps int
	// interval is the time between two jobs.
	interval time.Duration
	estimate time.Duration
}

// fullPools returns a scheduler with four full pools of 80 workers and more than 600 waiting jobs.
func fullPools(tb testing.TB) (*Scheduler, time.Time) {
	tb.Helper()
	return loadedPools(tb, poolLoad{teams: 1, jobs: 900, readySteps: 1, interval: 10 * time.Millisecond, estimate: time.Second})
}

// loadedPools returns a scheduler with four pools of 80 workers and the given load.
func loadedPools(tb testing.TB, load poolLoad) (*Scheduler, time.Time) {
	tb.Helper()
	now := time.Unix(1_800_000_000, 0)
	s := testScheduler(1, 7)
	d := beryllatch.Deployment{
		Version: 1, Queues: map[string]beryllatch.JobQueue{}, Pools: map[string]beryllatch.JobPool{"spare": {Name: "spare", Standby: true}},
		Teams: map[string]beryllatch.JobTeam{},
	}
	for n := range load.teams {
		name := benchTeam(n)
		d.Teams[name] = beryllatch.JobTeam{Name: name, Weight: float64(1 + n%3)}
	}
	s.Apply(now, Recovered{})
	const pools, workers = 4, 80
	var infos []beryllatch.WorkerInfo
	var list []beryllatch.FleetInstance
	for p := range pools {
		pool := fmt.Sprintf("p%d", p)
		d.Pools[pool] = beryllatch.JobPool{Name: pool}
		d.Queues[pool] = beryllatch.JobQueue{Name: pool, Pool: pool, MaxAttempts: 3, Slack: 1.6, Latency: 600 * time.Millisecond}
		for n := range workers {
			info := workerInfo(fmt.Sprintf("%s-%02d", pool, n))
			info.Pool = pool
			infos = append(infos, info)
			list = append(list, beryllatch.FleetInstance{
				Name: info.Instance, Pool: pool, State: beryllatch.FleetInstanceUp, Worker: info.ID, Capacity: info.Capacity, DataCentre: "dc1",
			})
		}
	}
	version := int64(10)
	var apply func(e Event)
	apply = func(e Event) {
		effects := append([]Effect(nil), s.Apply(now, e)...)
		for _, f := range effects {
			switch f := f.(type) {
			case CommitRows:
				version++
				apply(Committed{Batch: f.Batch, Version: version})
			case HoldWorker:
				if !f.Probe && f.Order.Wait == 0 {
					apply(WorkerHeld{Worker: f.Worker.ID, Fence: f.Order.Fence, Acknowledge: f.Order.Acknowledge, Sent: now, Lists: beryllatch.WorkerLists{Clock: time.Hour, Incarnation: 1}})
				}
			case StartRun:
				apply(StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Clock: time.Hour})
			}
		}
	}
	apply(DeploymentChanged{d.WithIndex()})
	apply(RegistryRead{Workers: infos})
	apply(InstancesListed{Instances: list})
	for n := 0; n < load.jobs || countWaitingSteps(s) < load.waitingSteps; n++ {
		if n == maxActiveJobs {
			tb.Fatalf("%d jobs leave %d of %d steps waiting", n, countWaitingSteps(s), load.waitingSteps)
		}
		pool := fmt.Sprintf("p%d", n%pools)
		var steps []beryllatch.JobStep
		var ready []int
		for i := range load.readySteps {
			needs := beryllatch.Resources{CPUMilli: 1500 + n%7*400, MemoryMB: 2000}
			steps, ready = append(steps, beryllatch.JobStep{Count: 8, Needs: needs, Estimate: load.estimate}), append(ready, i)
		}
		steps = append(steps, beryllatch.JobStep{Count: 8, Needs: beryllatch.Resources{CPUMilli: 1500, MemoryMB: 2000}, Estimate: load.estimate, After: ready})
		apply(JobSubmitted{Call: uint64(n), Job: beryllatch.Job{ID: fmt.Sprintf("%016x", n), Queue: pool, Team: benchTeam(n % load.teams), Steps: steps}})
		now = now.Add(load.interval)
		apply(Woken{})
	}
	return s, now
}

// benchTeam returns the name of a team; jobs of other benchmarks belong to the first one.
func benchTeam(n int) string {
	if n == 0 {
		return "team"
	}
	return fmt.Sprintf("team-%d", n)
}

func countWaitingSteps(s *Scheduler) int {
	n := 0
	for _, j := range s.active {
		for range j.waitingSteps {
			n++
		}
	}
	return n
}

// benchmarkLoads runs a benchmark with each number of waiting steps and of teams, in full pools; there are at most as many teams with
// jobs as jobs. The jobs come for about twice as long as one can wait and still meet its objective, so that with many waiting steps
// about half of them are late. The estimates are so short that all jobs can still be done before their results are worthless. All
// jobs come within the time for which workers stay usable, and the time doesn't advance during the measurement, since a pass over
// pools without usable workers has nothing to do.
func benchmarkLoads(b *testing.B, run func(b *testing.B, s *Scheduler, now time.Time)) {
	b.Helper()
	const (
		arrivalTime = 1200 * time.Millisecond
		// runningSteps is about how many steps the pools run at a time.
		runningSteps = 230
		// maxJobs is how many jobs may be needed for the waiting steps; it is less than maxActiveJobs.
		maxJobs = 2000
	)
	for _, waiting := range []int{100, 1_000, 10_000} {
		for _, teams := range []int{20, 2_000} {
			b.Run(fmt.Sprintf("steps=%d/teams=%d", waiting, teams), func(b *testing.B) {
				ready := (waiting + maxJobs - 1) / maxJobs
				s, now := loadedPools(b, poolLoad{
					teams: teams, waitingSteps: waiting, readySteps: ready, estimate: 10 * time.Millisecond,
					interval: arrivalTime * time.Duration(ready) / time.Duration(waiting+runningSteps),
				})
				s.effects = s.effects[:0]
				s.now = now
				s.place()
				for _, w := range s.sortedWorkers {
					if !s.usable(w) {
						b.Fatalf("worker %s is not usable", w.info.ID)
					}
				}
				for _, f := range s.effects {
					if f, ok := f.(StartRun); ok {
						b.Fatalf("the pools are not full: %s starts", f.Order.Task)
					}
				}
				b.ReportAllocs()
				run(b, s, now)
				b.ReportMetric(float64(countWaitingSteps(s)), "steps")
			})
		}
	}
}

// BenchmarkPlace measures one pass over the waiting steps.
func BenchmarkPlace(b *testing.B) {
	benchmarkLoads(b, func(b *testing.B, s *Scheduler, now time.Time) {
		s.now = now
		for b.Loop() {
			s.place()
			s.effects = s.effects[:0]
		}
	})
}

// BenchmarkTick measures a tick without the pass over the waiting steps.
func BenchmarkTick(b *testing.B) {
	benchmarkLoads(b, func(b *testing.B, s *Scheduler, now time.Time) {
		for b.Loop() {
			s.lastPlacement, s.wakePending = now.Add(time.Hour), true
			s.Apply(now, Ticked{})
		}
	})
}

// BenchmarkPlaceInFullPools measures one pass over the waiting tasks of a burst that exceeds the pools' capacity.
func BenchmarkPlaceInFullPools(b *testing.B) {
	s, now := fullPools(b)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		s.now = now
		s.place()
		s.effects = s.effects[:0]
	}
}

// BenchmarkTickInFullPools measures a tick, of which there are ten a second.
func BenchmarkTickInFullPools(b *testing.B) {
	s, now := fullPools(b)
	b.ReportAllocs()
	for b.Loop() {
		s.lastPlacement, s.wakePending = now.Add(time.Hour), true
		s.Apply(now, Ticked{})
	}
}
