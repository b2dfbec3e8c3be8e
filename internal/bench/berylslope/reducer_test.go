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

// size is one point of a slope.
type size struct{ workers, teams, nodes int }

// sizes vary one number at a time around the design size, and then all at once.
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

// node is a reducer with its clock.
type node struct {
	r       berylreducer.Reducer
	now     berylreducer.Instant
	cfg     beryllatch.Config
	rows    []berylreducer.NodeRow
	listed  map[string]beryllatch.InstanceStatus
	units   map[string]berylreducer.UnitsRead
	renewal uint64
}

// identity gives each process a start time of its own, as real ones have.
func identity(n int) berylreducer.Identity {
	started := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(n) * 829_337_551 * time.Microsecond)
	return berylreducer.Identity{
		Node: fmt.Sprintf("entry-%03d", n), Incarnation: beryldaemon.NewIncarnation(fmt.Sprintf("entry-%03d", n), started),
		DataCentre: fmt.Sprintf("dc%d", 1+n%6), PeerAddress: fmt.Sprintf("10.0.%d.%d:8082", n/200, 1+n%200),
	}
}

// newNode returns a reducer that is ready, knows all other nodes and has heard each worker and each peer once.
func newNode(s size) *node {
	n := &node{
		now:   berylreducer.Instant{Wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		cfg:   berylsample.Config(berylsample.Size{Workers: s.workers, Teams: s.teams}),
		units: map[string]berylreducer.UnitsRead{}, listed: map[string]beryllatch.InstanceStatus{}, rows: nodeRows(s.nodes),
	}
	for _, i := range n.cfg.Instances {
		n.listed[i.Address] = beryllatch.InstanceStatus{Address: i.Address}
	}
	for _, row := range n.rows {
		n.listed[row.PeerAddress] = beryllatch.InstanceStatus{Address: row.PeerAddress}
	}
	n.send(berylreducer.Started{Self: identity(0), Seed: 1})
	n.send(berylreducer.ShardsEnabled{})
	n.send(berylreducer.ConfigRead{Config: n.cfg})
	n.renewed()
	n.send(berylreducer.InstancesListed{Instances: n.listed})
	for range 100 {
		n.tick()
	}
	for id := range n.cfg.Instances {
		n.send(berylreducer.WorkerReported{Instance: id, Healthy: true, BootID: "0f6a3c1e-8f1b-4c55-9d3c-5f0d2b6f9a11"})
	}
	for k := range s.nodes - 1 {
		n.heard(k+1, s.teams)
	}
	return n
}

func nodeRows(nodes int) []berylreducer.NodeRow {
	var known []string
	for n := range nodes {
		known = append(known, identity(n).Incarnation)
	}
	rows := make([]berylreducer.NodeRow, nodes)
	for n := range rows {
		rows[n] = berylreducer.NodeRow{
			Identity: identity(n), Renewal: 1_000_000, ConfigVersion: 1, State: berylreducer.NodeLive, Known: known, Version: 1,
		}
	}
	return rows
}

func demand(teams int) []berylreducer.Demand {
	var out []berylreducer.Demand
	for n := range teams {
		out = append(out, berylreducer.Demand{Team: berylsample.Team(n), Running: 3, Units: 5})
	}
	return out
}

func (n *node) heard(from, teams int) {
	n.send(berylreducer.HeartbeatReceived{From: identity(from), ConfigVersion: 1, Demand: demand(teams)})
}

func (n *node) renewed() {
	n.renewal++
	rows := append([]berylreducer.NodeRow(nil), n.rows...)
	for k := range rows {
		rows[k].Renewal += n.renewal
		rows[k].Version += n.renewal
	}
	n.send(berylreducer.Renewed{SentAt: n.now, HeadVersion: 1, Nodes: rows})
}

func (n *node) tick() {
	n.now = n.now.Add(100 * time.Millisecond)
	n.send(berylreducer.Ticked{})
}

// send applies an event, answers the table calls that it causes and returns all effects.
func (n *node) send(e berylreducer.Event) []berylreducer.Effect {
	out := n.r.Reduce(n.now, e)
	all := out
	for _, x := range out {
		switch x := x.(type) {
		case berylreducer.RenewTenure:
			n.renewed()
		case berylreducer.ReadUnits:
			stored := n.units[x.Team]
			stored.Team = x.Team
			all = append(all, n.send(stored)...)
		case berylreducer.ReadShards:
			all = append(all, n.send(n.shards())...)
		case berylreducer.WriteUnits:
			n.units[x.Row.Team] = berylreducer.UnitsRead{Row: x.Row, Version: x.Expect + 1}
			all = append(all, n.send(berylreducer.UnitsWritten{
				Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1, Result: berylreducer.WriteDone,
			})...)
		}
	}
	return all
}

// shards returns the rows of all shards, which belong to a peer.
func (n *node) shards() berylreducer.ShardsRead {
	out := berylreducer.ShardsRead{SentAt: n.now}
	for k := range 64 {
		out.Shards = append(out.Shards, berylreducer.StoredShard{
			ShardRow: berylreducer.ShardRow{Shard: k, Owner: identity(1).Incarnation, Epoch: 1}, Version: 1,
		})
	}
	return out
}

func each(b *testing.B, f func(b *testing.B, s size)) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s)
		})
	}
}

// BenchmarkTick measures the event that arrives 10 times a second, with a renewal every tenth.
func BenchmarkTick(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		for b.Loop() {
			n.tick()
		}
	})
}

// BenchmarkRenewed measures the arrival of all node rows.
func BenchmarkRenewed(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		for b.Loop() {
			n.renewed()
		}
	})
}

// BenchmarkPeerHeard measures one heartbeat with the demand of every team.
func BenchmarkPeerHeard(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		for b.Loop() {
			n.heard(1, s.teams)
		}
	})
}

// BenchmarkInstancesListed measures the platform's instance list.
func BenchmarkInstancesListed(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		for b.Loop() {
			n.send(berylreducer.InstancesListed{Instances: n.listed})
		}
	})
}

// BenchmarkWorkerReported measures one worker's report.
func BenchmarkWorkerReported(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		e := berylreducer.WorkerReported{Instance: berylsample.Worker(1), Healthy: true, BootID: "boot"}
		for b.Loop() {
			n.send(e)
		}
	})
}

// BenchmarkConfigRead measures the adoption of a changed configuration.
func BenchmarkConfigRead(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		for b.Loop() {
			n.cfg = n.cfg.WithVersion(n.cfg.Version + 1)
			n.send(berylreducer.ConfigRead{Config: n.cfg})
		}
	})
}

// BenchmarkRequest measures a request from its arrival to its end: two events.
func BenchmarkRequest(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		n := newNode(s)
		hash, queue := berylsample.Hash(berylsample.Secret(0)), berylsample.Queue(0)
		k := 0
		for b.Loop() {
			k++
			id := fmt.Sprintf("request-%d", k)
			var sent *berylreducer.Dispatch
			out := n.send(berylreducer.RequestArrived{ID: id, KeyHash: hash, Queue: queue})
			for _, x := range out {
				if d, ok := x.(berylreducer.Dispatch); ok {
					sent = &d
				}
			}
			if sent == nil {
				b.Fatalf("the request was not dispatched: %+v", out)
			}
			n.send(berylreducer.ExecutionEnded{
				ID: id, Attempt: sent.Attempt, Outcome: beryllatch.OutcomeAnswered, Duration: time.Millisecond,
			})
		}
	})
}

// BenchmarkState measures the memory that the reducer holds with its configuration.
func BenchmarkState(b *testing.B) {
	each(b, func(b *testing.B, s size) {
		var kept []*node
		before := heap()
		for b.Loop() {
			kept = append(kept, newNode(s))
		}
		b.ReportMetric(float64(heap()-before)/float64(len(kept))/1024, "KB-held")
		runtime.KeepAlive(kept)
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
