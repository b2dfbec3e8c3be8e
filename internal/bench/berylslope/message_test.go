package berylslope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
	"github.com/beryllatch/beryllatch/internal/platform/berylconfig"
	"github.com/beryllatch/beryllatch/internal/platform/berylinstance"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// BenchmarkMessage reports the size in bytes of each control message and stored row. It measures no time.
func BenchmarkMessage(b *testing.B) {
	for _, m := range []struct {
		name string
		size func(b *testing.B, s size) int
	}{
		{"heartbeat", heartbeatSize},
		{"notify", notifySize},
		{"node-row", nodeRowSize},
		{"unit-row", unitRowSize},
		{"config-json", jsonConfigSize},
		{"config-stored", storedConfigSize},
		{"instance-list", instanceListSize},
	} {
		for _, s := range sizes {
			b.Run(m.name+"/"+s.String(), func(b *testing.B) { reportBytes(b, m.size(b, s)) })
		}
	}
	for _, answer := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("claim-row/answer=%d", answer), func(b *testing.B) { reportBytes(b, claimRowSize(b, answer)) })
		b.Run(fmt.Sprintf("task-row/result=%d", answer), func(b *testing.B) { reportBytes(b, taskRowSize(b, answer)) })
	}
}

// reportBytes reports n as the metric of the benchmark and leaves out its time.
func reportBytes(b *testing.B, n int) {
	for b.Loop() {
		// The loop does nothing, since only the size is of interest.
		continue
	}
	b.ReportMetric(float64(n), "bytes")
	b.ReportMetric(0, "ns/op")
}

func heartbeatSize(b *testing.B, s size) int {
	m := &berylwire.HeartbeatRequest{Node: identity(1).Node, Incarnation: identity(1).Incarnation, ConfigVersion: 100_000}
	for _, d := range demandPerTeam(s.teams) {
		m.Demand = append(m.Demand, &berylwire.TeamDemand{
			Team: d.Team, Running: int32(d.Running), Waiting: int32(d.Waiting), Units: int32(d.Units),
		})
	}
	return protoSize(b, m)
}

func notifySize(b *testing.B, _ size) int {
	return protoSize(b, &berylwire.NotifyConfigRequest{Version: 100_000})
}

func protoSize(b *testing.B, m proto.Message) int {
	encoded, err := proto.Marshal(m)
	assert.NilError(b, err)
	return len(encoded)
}

func jsonSize(b *testing.B, v any) int {
	encoded, err := json.Marshal(v)
	assert.NilError(b, err)
	return len(encoded)
}

func nodeRowSize(b *testing.B, s size) int { return len(storedRow(b, nodeRows(s.nodes)[0]).Value) }

func unitRowSize(b *testing.B, s size) int {
	row := berylreducer.UnitRow{Team: berylsample.Team(0), ConfigVersion: 100_000, Ceiling: 500, Holdings: map[string]int{}}
	for n := range s.nodes {
		row.Holdings[identity(n).Incarnation] = 10
	}
	return jsonSize(b, row)
}

func config(s size) beryllatch.Config {
	return berylsample.Config(berylsample.Size{Workers: s.workers, Teams: s.teams})
}

func jsonConfigSize(b *testing.B, s size) int { return jsonSize(b, config(s)) }

// captureTable is a table that keeps the longest value written to it.
type captureTable struct {
	beryllatch.Table
	value []byte
}

// Transact keeps the value of a write if it is longer than all before.
func (c *captureTable) Transact(_ context.Context, writes ...beryllatch.RowWrite) error {
	for _, w := range writes {
		if len(w.Row.Value) > len(c.value) {
			c.value = w.Row.Value
		}
	}
	return nil
}

func storedConfigSize(b *testing.B, s size) int {
	var c captureTable
	assert.NilError(b, berylconfig.Store{Table: &c}.Write(b.Context(), config(s), 0))
	return len(c.value)
}

func instanceListSize(b *testing.B, s size) int {
	platform := berylplatform.New()
	for _, i := range config(s).Instances {
		assert.NilError(b, platform.SetInstance(i.Address, berylinstance.StateLive, nil))
	}
	for _, row := range nodeRows(s.nodes) {
		assert.NilError(b, platform.SetInstance(row.PeerAddress, berylinstance.StateLive, nil))
	}
	rec := httptest.NewRecorder()
	platform.Instances().ServeHTTP(
		rec, httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/instances", http.NoBody),
	)
	return rec.Body.Len()
}

func claimRowSize(b *testing.B, answer int) int {
	return jsonSize(b, berylreducer.ClaimRow{
		Team: berylsample.Team(0), Queue: berylsample.Queue(0), BodyHash: strings.Repeat("a", 64),
		Nonce: strings.Repeat("b", 36), Node: identity(0).Node, Incarnation: identity(0).Incarnation,
		RequestID: strings.Repeat("c", 36), ExecutionID: strings.Repeat("d", 38), Instance: berylsample.Worker(1),
		State: berylreducer.ClaimDone, Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/octet-stream"}}, Answer: make([]byte, answer),
	})
}

func taskRowSize(b *testing.B, result int) int {
	now := time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)
	return jsonSize(b, beryllatch.Task{
		ID: strings.Repeat("e", 36), Team: berylsample.Team(0), Queue: berylsample.Queue(0), State: beryllatch.TaskRunning,
		Attempt: 1, Instance: berylsample.Worker(1), BootID: strings.Repeat("f", 36), StartBy: now, Accepted: now,
		Deadline: now, Result: make([]byte, result),
	})
}

// byteCounter counts the bytes that a client sends and receives on all its connections.
type byteCounter struct{ sent, received atomic.Int64 }

// countingConn is a connection whose bytes are added to a byteCounter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Write counts what the client sends.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// Read counts what the client receives.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c}, nil
}

func (c *byteCounter) report(b *testing.B) {
	b.ReportMetric(float64(c.sent.Load())/float64(b.N), "B-sent/op")
	b.ReportMetric(float64(c.received.Load())/float64(b.N), "B-received/op")
}

// BenchmarkWorkerReport measures a poll of a worker over HTTP, headers included, on a connection that stays open.
func BenchmarkWorkerReport(b *testing.B) {
	s := httptest.NewServer(berylupstream.New().Handler())
	defer s.Close()
	var counter byteCounter
	c := berylworker.New(berylworker.WithDial(counter.dial))
	defer c.CloseIdle()
	for b.Loop() {
		_, err := c.QueryWorker(b.Context(), s.Listener.Addr().String())
		assert.NilError(b, err)
	}
	counter.report(b)
}

// BenchmarkTableCalls measures the three table calls of a tenure's renewal over HTTP, headers and signatures included.
func BenchmarkTableCalls(b *testing.B) {
	for _, nodes := range []int{9, 36, 144} {
		rows := nodeRows(nodes)
		for name, call := range map[string]func(ctx context.Context, t beryllatch.Table, n uint64) error{
			"renew": func(ctx context.Context, t beryllatch.Table, n uint64) error {
				return t.Transact(ctx, beryllatch.RowWrite{Row: storedRow(b, rows[0]), Expect: n})
			},
			"head": func(ctx context.Context, t beryllatch.Table, _ uint64) error {
				_, err := t.Get(ctx, beryllatch.RowKey{Partition: "config", Sort: "head"})
				return err
			},
			"nodes": func(ctx context.Context, t beryllatch.Table, _ uint64) error {
				_, err := t.Query(ctx, "node", "", 256)
				return err
			},
		} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, nodes), func(b *testing.B) { tableCall(b, rows, call) })
		}
	}
}

// storedRow returns a node row as a daemon stores it.
func storedRow(b *testing.B, row berylreducer.NodeRow) beryllatch.Row {
	value, err := beryldaemon.EncodeNodeRow(row)
	assert.NilError(b, err)
	return beryllatch.Row{Key: beryllatch.RowKey{Partition: "node", Sort: row.Incarnation}, Value: value}
}

// tableCall measures a call to a table that holds the node rows; n is 1 in the first call and grows by one in each.
func tableCall(
	b *testing.B, rows []berylreducer.NodeRow, call func(ctx context.Context, t beryllatch.Table, n uint64) error,
) {
	const unlimited = 1 << 30
	s := httptest.NewServer(berylplatform.New(berylplatform.WithRates(unlimited, unlimited)).Table())
	defer s.Close()
	var counter byteCounter
	t := beryltable.New(berylcall.WithEndpoint(s.URL), berylcall.WithHTTPClient(
		&http.Client{Transport: berylcall.CopyBodyTransport{Next: &http.Transport{DialContext: counter.dial}}},
	))
	for _, row := range rows {
		assert.NilError(b, t.Transact(b.Context(), beryllatch.RowWrite{Row: storedRow(b, row)}))
	}
	counter.sent.Store(0)
	counter.received.Store(0)
	n := uint64(0)
	for b.Loop() {
		n++
		assert.NilError(b, call(b.Context(), t, n))
	}
	counter.report(b)
}

// BenchmarkConfigCode measures the reading of a stored configuration: decoding and validation.
func BenchmarkConfigCode(b *testing.B) {
	forEachSize(b, func(b *testing.B, s size) {
		var c captureTable
		cfg := config(s)
		assert.NilError(b, berylconfig.Store{Table: &c}.Write(b.Context(), cfg, 0))
		fixed := fixedTable{row: beryllatch.Row{Version: 1, Value: bytes.Clone(c.value)}}
		for b.Loop() {
			got, err := berylconfig.Store{Table: fixed}.Read(b.Context())
			assert.NilError(b, err)
			assert.NilError(b, got.Validate())
		}
	})
}

// fixedTable answers every read with one row.
type fixedTable struct {
	beryllatch.Table
	row beryllatch.Row
}

// Get returns the row.
func (t fixedTable) Get(context.Context, beryllatch.RowKey) (beryllatch.Row, error) {
	return t.row, nil
}
