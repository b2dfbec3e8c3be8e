package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// fullPools returns a scheduler with four full pools of 80 workers and more than 600 waiting jobs.
func fullPools(tb testing.TB) (*Scheduler, time.Time) {
	tb.Helper()
	now := time.Unix(1_800_000_000, 0)
	s := testScheduler(1, 7)
	d := beryllatch.Deployment{
		Version: 1, Queues: map[string]beryllatch.JobQueue{}, Pools: map[string]beryllatch.JobPool{"spare": {Name: "spare", Standby: true}},
		Teams: map[string]beryllatch.JobTeam{"team": {Name: "team", Weight: 1}},
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
					apply(WorkerHeld{Worker: f.Worker.ID, Incarnation: f.Incarnation, Sent: now, Lists: beryllatch.WorkerLists{Clock: time.Hour, Incarnation: f.Incarnation}})
				}
			case StartRun:
				apply(StartEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run, Clock: time.Hour})
			}
		}
	}
	apply(DeploymentChanged{d.WithIndex()})
	apply(RegistryRead{Workers: infos})
	apply(InstancesListed{Instances: list})
	for n := range 900 {
		pool := fmt.Sprintf("p%d", n%pools)
		apply(JobSubmitted{Call: uint64(n), Job: beryllatch.Job{ID: fmt.Sprintf("%016x", n), Queue: pool, Team: "team", Steps: []beryllatch.JobStep{
			{Count: 8, Needs: beryllatch.Resources{CPUMilli: 1500 + n%7*400, MemoryMB: 2000}, Estimate: time.Second},
			{Count: 8, Needs: beryllatch.Resources{CPUMilli: 1500, MemoryMB: 2000}, Estimate: time.Second, After: []int{0}},
		}}})
		now = now.Add(10 * time.Millisecond)
		apply(Woken{})
	}
	return s, now
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
