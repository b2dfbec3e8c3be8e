package berylpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

var self = berylreducer.Identity{Node: "node-02", Incarnation: "node-02-66f1a2b3"}

// recordingHandler answers heartbeats with answer and every call with err, and records the values that it was sent.
type recordingHandler struct {
	heartbeat Heartbeat
	units     UnitRequest
	team      string
	answer    Answer
	err       error
}

func (r *recordingHandler) Heartbeat(_ context.Context, h Heartbeat) (Answer, error) {
	r.heartbeat = h
	return r.answer, r.err
}

func (r *recordingHandler) NotifyConfig(_ context.Context, v uint64) (Answer, error) {
	return Answer{From: self, ConfigVersion: v}, r.err
}

func (r *recordingHandler) ReleaseUnits(_ context.Context, u UnitRequest) error {
	r.units = u
	return r.err
}

func (r *recordingHandler) NotifyUnits(_ context.Context, team string) error {
	r.team = team
	return r.err
}

// countingListener counts the bytes that are read and written on all of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func newServer(h Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           NewHandler(h),
		Protocols:         p,
		ReadHeaderTimeout: callTimeout,
		ReadTimeout:       2 * callTimeout,
		WriteTimeout:      2 * callTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    16 << 10,
	}
}

func serve(t *testing.T, h Handler) (*Client, berylreducer.Identity, *atomic.Int64) {
	t.Helper()
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	bytes := new(atomic.Int64)
	s, c := newServer(h), NewClient()
	go func() { _ = s.Serve(countingListener{ln, bytes}) }()
	t.Cleanup(func() { c.Close(); _ = s.Close() })
	return c, berylreducer.Identity{Node: "node-02", PeerAddress: ln.Addr().String()}, bytes
}

func demandOf(teams int) []berylreducer.Demand {
	var out []berylreducer.Demand
	for i := range teams {
		out = append(out, berylreducer.Demand{Team: fmt.Sprintf("workshop-%02d", i), Running: 130, Waiting: 20, Units: 150})
	}
	return out
}

func workOf(pools int) []berylreducer.PoolWork {
	var out []berylreducer.PoolWork
	for i := range pools {
		out = append(out, berylreducer.PoolWork{Pool: fmt.Sprintf("workshop-%02d", i), Slots: 130})
	}
	return out
}

// Guards against a field that is lost in the conversion to a message and back.
func TestCallsCarryAllFields(t *testing.T) {
	h := &recordingHandler{answer: Answer{From: self, ConfigVersion: 8, Demand: demandOf(2), Granted: true}}
	c, to, _ := serve(t, h)
	sent := Heartbeat{From: self, ConfigVersion: 7, Demand: demandOf(3), Work: workOf(3), AskGrant: true}
	a, err := c.Heartbeat(t.Context(), to, sent)
	assert.NilError(t, err)
	assert.DeepEqual(t, a, h.answer)
	assert.DeepEqual(t, h.heartbeat, sent)

	a, err = c.NotifyConfig(t.Context(), to, 9)
	assert.NilError(t, err)
	assert.DeepEqual(t, a, Answer{From: self, ConfigVersion: 9})

	u := UnitRequest{Incarnation: "i1", Team: "red", Units: 3, Demand: berylreducer.Demand{Team: "red", Waiting: 3}}
	assert.NilError(t, c.ReleaseUnits(t.Context(), to, u))
	assert.DeepEqual(t, h.units, u)
	assert.NilError(t, c.NotifyUnits(t.Context(), to, "red"))
	assert.Equal(t, h.team, "red")
}

// Guards against invalid calls that reach the node, and against errors that don't name the invalid field.
func TestBadCallsNameTheField(t *testing.T) {
	c, to, _ := serve(t, &recordingHandler{})
	long := strings.Repeat("x", 200)
	for field, call := range map[string]func() error{
		"node": func() error { _, err := c.Heartbeat(t.Context(), to, Heartbeat{}); return err },
		"demand[0].team": func() error {
			_, err := c.Heartbeat(t.Context(), to, Heartbeat{From: self, Demand: []berylreducer.Demand{{Team: long}}})
			return err
		},
		"demand[0]": func() error {
			d := []berylreducer.Demand{{Team: "red", Running: -1}}
			_, err := c.Heartbeat(t.Context(), to, Heartbeat{From: self, Demand: d})
			return err
		},
		"demand": func() error {
			_, err := c.Heartbeat(t.Context(), to, Heartbeat{From: self, Demand: demandOf(2000)})
			return err
		},
		"version": func() error { _, err := c.NotifyConfig(t.Context(), to, 0); return err },
		"units":   func() error { return c.ReleaseUnits(t.Context(), to, UnitRequest{Incarnation: "i", Team: "red"}) },
		"demand.team": func() error {
			return c.ReleaseUnits(t.Context(), to, UnitRequest{Incarnation: "i", Team: "red", Units: 1})
		},
		"team": func() error { return c.NotifyUnits(t.Context(), to, "") },
	} {
		err := call()
		var e *CallError
		var w twirp.Error
		assert.Assert(t, errors.As(err, &e) && errors.As(err, &w), "%s: %v", field, err)
		assert.Equal(t, w.Code(), twirp.InvalidArgument)
		assert.Equal(t, w.Meta("argument"), field)
	}
}

// Guards against large bodies that exhaust a node's memory, and against a node's error that is reported to the peer as
// an invalid call.
func TestBodiesAreBounded(t *testing.T) {
	c, to, _ := serve(t, &recordingHandler{err: errors.New("stopping")})
	var w twirp.Error
	assert.Assert(t, errors.As(c.NotifyUnits(t.Context(), to, "red"), &w))
	assert.Equal(t, w.Code(), twirp.Unavailable)

	body := strings.NewReader(strings.Repeat("x", 2*maxBody))
	url := "http://" + to.PeerAddress + "/twirp/beryllatch.peer.v1.Peer/Heartbeat"
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	assert.NilError(t, err)
	r.Header.Set("Content-Type", "application/protobuf")
	answer, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
}

// Guards against heartbeats that exceed a node's limit of 16 KB/s for control traffic at the design size.
func TestHeartbeatBytes(t *testing.T) {
	const (
		nodes, teams, pools, rounds = 36, 26, 22, 50
		fanOut                      = 2
		budget                      = 16_000
	)
	measure := func(h Heartbeat, a Answer) int64 {
		c, to, bytes := serve(t, &recordingHandler{answer: a})
		for i := range rounds + 1 {
			if i == 1 {
				bytes.Store(0) // The first exchange opens the connection.
			}
			_, err := c.Heartbeat(t.Context(), to, h)
			assert.NilError(t, err)
		}
		return bytes.Load() / rounds
	}
	full := measure(Heartbeat{From: self, ConfigVersion: 41_234, Demand: demandOf(teams), Work: workOf(pools)},
		Answer{From: self, ConfigVersion: 41_234, Demand: demandOf(teams)})
	grant := measure(Heartbeat{From: self, ConfigVersion: 41_234, AskGrant: true},
		Answer{From: self, ConfigVersion: 41_234, Granted: true})
	// A node receives as many heartbeats as it sends.
	normal, outage := 2*fanOut*full, 2*(nodes-1)*grant
	t.Logf("demand: %d B an exchange, %d B/s; grant: %d B an exchange, %d B/s", full, normal, grant, outage)
	assert.Assert(t, normal < budget && outage < budget)
}
