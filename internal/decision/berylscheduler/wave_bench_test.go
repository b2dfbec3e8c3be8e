package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// waveLoad returns a scheduler with 350 workers, 10 steps of 10 long-running tasks of which one may be missing, one of 250 of which 10 may
// be missing, 300 other tasks, and a wave
// for 189 instances that was first seen the given time ago. All runs have the given progress; below 100 no long-running task may stop. On
// cutOff of the instances the worker doesn't answer and has not listed its runs.
func waveLoad(b *testing.B, age time.Duration, percent, cutOff int) (*Scheduler, time.Time) {
	b.Helper()
	const workers, pending = 350, 189
	now := time.Unix(1_800_000_000, 0)
	s := testScheduler(1, 7)
	d := testDeployment()
	d.Teams = map[string]beryllatch.JobTeam{"team": {Name: "team", Weight: 1}}
	version := int64(10)
	var apply func(e Event)
	apply = func(e Event) {
		for _, f := range append([]Effect(nil), s.Apply(now, e)...) {
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
	apply(Recovered{})
	apply(DeploymentChanged{d.WithIndex()})
	var infos []beryllatch.WorkerInfo
	var list []beryllatch.FleetInstance
	wave := beryllatch.MaintenanceWave{Number: 1, Deadline: 26 * time.Second, MaxDown: 73}
	for n := range workers {
		info := workerInfo(fmt.Sprintf("w%03d", n))
		infos = append(infos, info)
		list = append(list, beryllatch.FleetInstance{Name: info.Instance, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: info.ID, Capacity: info.Capacity, DataCentre: "dc1"})
		if n < pending {
			wave.Instances = append(wave.Instances, info.Instance)
		}
	}
	apply(RegistryRead{Workers: infos})
	apply(InstancesListed{Instances: list})
	for n := range 311 {
		j := singleTaskJob(fmt.Sprintf("%016x", n))
		switch {
		case n == 0:
			j = limitedStep(250, 10)
		case n <= 10:
			j = limitedStep(10, 1)
		}
		j.ID = fmt.Sprintf("%016x", n)
		j.Queue, j.Team = "q", "team"
		apply(JobSubmitted{Call: uint64(n), Job: j})
	}
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		apply(Woken{})
	}
	for _, k := range s.sortedWorkers {
		for _, r := range k.runs {
			r.percent = percent
		}
	}
	for _, k := range s.sortedWorkers[pending-cutOff : pending] {
		k.synced, k.failedHolds = false, 1
	}
	apply(OperationsChanged{beryllatch.Operations{Waves: map[int]beryllatch.MaintenanceWave{1: wave}}})
	s.fleet.waves[1].firstSeen = now.Add(-age)
	return s, now
}

// BenchmarkTickInWave measures a tick, of which there are ten a second, during a wave.
func BenchmarkTickInWave(b *testing.B) {
	for _, c := range []struct {
		name            string
		age             time.Duration
		percent, cutOff int
	}{
		{"in-time", 2 * time.Second, 100, 0},
		{"short", 12 * time.Second, 100, 0},
		{"hurried", 18 * time.Second, 100, 0},
		{"blocked", 18 * time.Second, 50, 0},
		{"cut-off", 18 * time.Second, 50, 60},
	} {
		b.Run(c.name, func(b *testing.B) {
			s, now := waveLoad(b, c.age, c.percent, c.cutOff)
			b.ReportAllocs()
			for b.Loop() {
				s.lastPlacement, s.wakePending = now.Add(time.Hour), true
				s.Apply(now, Ticked{})
			}
			b.ReportMetric(float64(len(s.fleet.orders)), "orders")
		})
	}
}
