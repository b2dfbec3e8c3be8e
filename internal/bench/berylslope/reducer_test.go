package berylslope

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
)

// size is a size of the fleet at which the benchmarks run.
type size struct{ workers, teams, nodes int }

// sizes holds the design size (630 workers, 26 teams, 36 nodes), sizes that differ from it in one number, and two that
// differ in all of them.
var sizes = []size{
	{50, 26, 36},
	{630, 26, 36},
	{2520, 26, 36},
	{630, 6, 36},
	{630, 104, 36},
	{630, 26, 9},
	{630, 26, 144},
	{50, 6, 9},
	{2520, 104, 144},
}

func (s size) String() string {
	return fmt.Sprintf("workers=%d/teams=%d/nodes=%d", s.workers, s.teams, s.nodes)
}

// reducerDriver is the reducer of one node with a clock, and answers the reducer's table calls.
type reducerDriver struct {
	reducer   berylreducer.Reducer
	now       berylreducer.Instant
	config    beryllatch.Config
	rows      []berylreducer.NodeRow
	instances map[string]beryllatch.InstanceStatus
	unitRows  map[string]berylreducer.UnitsRead
	renewal   uint64
}

// identity returns the identity of the node with the number n. The nodes differ in their start times, as real ones do,
// since the start time is part of the incarnation.
func identity(n int) berylreducer.Identity {
	started := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(n) * 829_337_551 * time.Microsecond)
	return berylreducer.Identity{
		Node: fmt.Sprintf("entry-%03d", n), Incarnation: beryldaemon.NewIncarnation(fmt.Sprintf("entry-%03d", n), started),
		DataCentre: fmt.Sprintf("dc%d", 1+n%6), PeerAddress: fmt.Sprintf("10.0.%d.%d:8082", n/200, 1+n%200),
	}
}

// newReducerDriver returns the driver of a reducer that is ready, has read the rows of all nodes, and has received one
// report of each worker and one heartbeat of each peer.
func newReducerDriver(s size) *reducerDriver {
	d := &reducerDriver{
		now:      berylreducer.Instant{Wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		config:   berylsample.Config(berylsample.Size{Workers: s.workers, Teams: s.teams}),
		unitRows: map[string]berylreducer.UnitsRead{}, instances: map[string]beryllatch.InstanceStatus{},
		rows: nodeRows(s.nodes),
	}
	for _, i := range d.config.Instances {
		d.instances[i.Address] = beryllatch.InstanceStatus{Address: i.Address}
	}
	for _, row := range d.rows {
		d.instances[row.PeerAddress] = beryllatch.InstanceStatus{Address: row.PeerAddress}
	}
	d.send(berylreducer.Started{Self: identity(0), Seed: 1})
	d.send(berylreducer.ShardsEnabled{})
	d.send(berylreducer.ConfigRead{Config: d.config})
	d.deliverRenewal()
	d.send(berylreducer.InstancesListed{Instances: d.instances})
	for range 100 {
		d.tick()
	}
	for id := range d.config.Instances {
		d.send(berylreducer.WorkerReported{Instance: id, Healthy: true, BootID: "0f6a3c1e-8f1b-4c55-9d3c-5f0d2b6f9a11"})
	}
	for k := range s.nodes - 1 {
		d.deliverHeartbeat(k+1, s.teams)
	}
	return d
}

// nodeRows returns the rows of nodes that all know each other.
func nodeRows(nodes int) []berylreducer.NodeRow {
	var incarnations []string
	for n := range nodes {
		incarnations = append(incarnations, identity(n).Incarnation)
	}
	rows := make([]berylreducer.NodeRow, nodes)
	for n := range rows {
		rows[n] = berylreducer.NodeRow{
			Identity: identity(n), Renewal: 1_000_000, ConfigVersion: 1, State: berylreducer.NodeLive,
			Known: incarnations, Version: 1,
		}
	}
	return rows
}

func demandPerTeam(teams int) []berylreducer.Demand {
	var out []berylreducer.Demand
	for n := range teams {
		out = append(out, berylreducer.Demand{Team: berylsample.Team(n), Running: 3, Units: 5})
	}
	return out
}

func (d *reducerDriver) deliverHeartbeat(from, teams int) {
	d.send(berylreducer.HeartbeatReceived{From: identity(from), ConfigVersion: 1, Demand: demandPerTeam(teams)})
}

// deliverRenewal reports a renewal of the tenure to the reducer, after which every node row has a new version.
func (d *reducerDriver) deliverRenewal() {
	d.renewal++
	rows := append([]berylreducer.NodeRow(nil), d.rows...)
	for k := range rows {
		rows[k].Renewal += d.renewal
		rows[k].Version += d.renewal
	}
	d.send(berylreducer.Renewed{SentAt: d.now, HeadVersion: 1, Nodes: rows})
}

func (d *reducerDriver) tick() {
	d.now = d.now.Add(100 * time.Millisecond)
	d.send(berylreducer.Ticked{})
}

// send applies an event, answers the table calls among its effects, and returns all effects, those of the answers
// included.
func (d *reducerDriver) send(e berylreducer.Event) []berylreducer.Effect {
	out := d.reducer.Reduce(d.now, e)
	all := out
	for _, x := range out {
		switch x := x.(type) {
		case berylreducer.RenewTenure:
			d.deliverRenewal()
		case berylreducer.ReadUnits:
			answer := d.unitRows[x.Team]
			answer.Team = x.Team
			all = append(all, d.send(answer)...)
		case berylreducer.ReadShards:
			all = append(all, d.send(d.shards())...)
		case berylreducer.WriteUnits:
			d.unitRows[x.Row.Team] = berylreducer.UnitsRead{Row: x.Row, Version: x.Expect + 1}
			all = append(all, d.send(berylreducer.UnitsWritten{
				Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1, Result: berylreducer.WriteDone,
			})...)
		}
	}
	return all
}

// shards returns the answer to ReadShards: a peer owns all shards.
func (d *reducerDriver) shards() berylreducer.ShardsRead {
	out := berylreducer.ShardsRead{SentAt: d.now}
	for k := range 64 {
		out.Shards = append(out.Shards, berylreducer.StoredShard{
			ShardRow: berylreducer.ShardRow{Shard: k, Owner: identity(1).Incarnation, Epoch: 1}, Version: 1,
		})
	}
	return out
}

// forEachSize runs a benchmark at each of the sizes.
func forEachSize(b *testing.B, f func(b *testing.B, s size)) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s)
		})
	}
}

// BenchmarkTick measures the event Ticked, which arrives 10 times per second; every tenth one causes a renewal.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		for b.Loop() {
			d.tick()
		}
	})
}

// BenchmarkRenewed measures the event Renewed, which delivers all node rows.
func BenchmarkRenewed(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		for b.Loop() {
			d.deliverRenewal()
		}
	})
}

// BenchmarkPeerHeard measures the event of one heartbeat, which carries the demand of every team.
func BenchmarkPeerHeard(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		for b.Loop() {
			d.deliverHeartbeat(1, s.teams)
		}
	})
}

// BenchmarkInstancesListed measures the event that delivers the platform's instance list.
func BenchmarkInstancesListed(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		for b.Loop() {
			d.send(berylreducer.InstancesListed{Instances: d.instances})
		}
	})
}

// BenchmarkWorkerReported measures the event of one worker's report.
func BenchmarkWorkerReported(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		e := berylreducer.WorkerReported{Instance: berylsample.Worker(1), Healthy: true, BootID: "boot"}
		for b.Loop() {
			d.send(e)
		}
	})
}

// BenchmarkConfigRead measures the adoption of a changed configuration.
func BenchmarkConfigRead(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		for b.Loop() {
			d.config = d.config.WithVersion(d.config.Version + 1)
			d.send(berylreducer.ConfigRead{Config: d.config})
		}
	})
}

// BenchmarkRequest measures the two events of a request: its arrival and the end of its execution.
func BenchmarkRequest(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		d := newReducerDriver(s)
		hash, queue := berylsample.Hash(berylsample.Secret(0)), berylsample.Queue(0)
		k := 0
		for b.Loop() {
			k++
			id := fmt.Sprintf("request-%d", k)
			var dispatch *berylreducer.Dispatch
			out := d.send(berylreducer.RequestArrived{ID: id, KeyHash: hash, Queue: queue})
			for _, x := range out {
				if sent, ok := x.(berylreducer.Dispatch); ok {
					dispatch = &sent
				}
			}
			if dispatch == nil {
				b.Fatalf("the request was not dispatched: %+v", out)
			}
			d.send(berylreducer.ExecutionEnded{
				ID: id, Attempt: dispatch.Attempt, Outcome: beryllatch.OutcomeAnswered, Duration: time.Millisecond,
			})
		}
	})
}

// BenchmarkState measures the memory of a reducer's state, its configuration included.
func BenchmarkState(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		var drivers []*reducerDriver
		before := heapInUse()
		for b.Loop() {
			drivers = append(drivers, newReducerDriver(s))
		}
		b.ReportMetric(float64(heapInUse()-before)/float64(len(drivers))/1024, "KB-held")
		runtime.KeepAlive(drivers)
	})
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
