package berylworker_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylcaller"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylproblem"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// oneRequestNode runs a reducer for one request at a time; its clock moves only while the request waits.
type oneRequestNode struct {
	mu       sync.Mutex
	r        berylreducer.Reducer
	now      berylreducer.Instant
	effects  chan berylreducer.Effect
	finished bool
}

func newOneRequestNode(address string) *oneRequestNode {
	// The clock is ahead of the worker's, so that a slow machine passes no start-by.
	n := &oneRequestNode{now: berylreducer.Instant{Wall: time.Now().Add(time.Minute)}}
	n.reduce(berylreducer.Started{Self: berylreducer.Identity{Node: "n1", Incarnation: "n1-1", DataCentre: "dc1"}, Seed: 1})
	n.reduce(berylreducer.ConfigRead{Config: beryllatch.Config{Version: 1}.
		WithService(beryllatch.Service{Name: "quotes", MaxUnavailable: 1}).
		WithPool(beryllatch.Pool{Name: "quotes", Service: "quotes"}).
		WithQueue(beryllatch.Queue{Name: "price", Pool: "quotes", Open: true}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc1"}).
		WithInstance(beryllatch.Instance{
			ID: "w1", Pool: "quotes", DataCentre: "dc1", Address: address, Slots: 2, Connections: 16,
			State: beryllatch.InstanceActive,
		})})
	return n
}

// reduce applies the event and reports whether an effect concerned the request.
func (n *oneRequestNode) reduce(e berylreducer.Event) bool {
	concerned := false
	for _, x := range n.r.Reduce(n.now, e) {
		switch x.(type) {
		case berylreducer.RenewTenure:
			concerned = n.reduce(berylreducer.Renewed{SentAt: n.now, HeadVersion: 1}) || concerned
		case berylreducer.Dispatch:
			n.effects <- x
			concerned = true
		case berylreducer.Finish, berylreducer.Refuse:
			n.effects <- x
			concerned, n.finished = true, true
		}
	}
	return concerned
}

// Submit posts the arrival of the request.
func (n *oneRequestNode) Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect {
	effects := make(chan berylreducer.Effect, 8)
	n.effects = effects
	n.Post(e)
	return effects
}

// Post applies the event, and lets time pass until the request goes on.
func (n *oneRequestNode) Post(e berylreducer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.reduce(e) && !n.finished {
		n.now = n.now.Add(100 * time.Millisecond)
		e = berylreducer.Ticked{}
	}
}

func (n *oneRequestNode) KeepAnswer(string, beryldaemon.Answer) {}

func (n *oneRequestNode) Release(string) {}

// settleOnceUpstream asks the worker once, over an unbroken connection, about each execution whose answer was lost. Later
// questions only concern the team's unit, and would go on after the test.
type settleOnceUpstream struct {
	*berylworker.Client
	settled sync.Map
}

// Settle asks the worker as if the request had been sent a while after the worker's start.
func (u *settleOnceUpstream) Settle(
	ctx context.Context, e beryllatch.Execution, sent time.Time,
) (beryllatch.ExecutionState, error) {
	if _, again := u.settled.LoadOrStore(e.ID, true); again {
		return beryllatch.ExecutionEnded, nil
	}
	c := berylworker.New()
	defer c.CloseIdle()
	return c.Settle(ctx, e, sent.Add(time.Second))
}

// maxExchange is more than the bytes of a request or an answer in these tests.
const maxExchange = 2000

var errCut = errors.New("connection cut")

// cutConn breaks after a number of bytes in either direction.
type cutConn struct {
	net.Conn
	writeLeft, readLeft int
}

func (c *cutConn) Write(p []byte) (int, error) {
	if len(p) <= c.writeLeft {
		c.writeLeft -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.writeLeft])
	c.writeLeft = 0
	_ = c.Close()
	return n, errCut
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.readLeft == 0 {
		_ = c.Close()
		return 0, errCut
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readLeft)])
	c.readLeft -= n
	return n, err
}

// sendWithCuts sends requests whose connections break at each step: before they are open, and after each byte of the
// request and of the answer. It returns the run states that the callers saw, and those refusals as not run whose
// request the worker has started.
func sendWithCuts(t *testing.T, opts ...berylworker.Option) (seen map[beryllatch.RunState]int, wrong []string) {
	t.Helper()
	worker := berylupstream.New(berylupstream.WithRun(0))
	srv := httptest.NewUnstartedServer(worker.Handler())
	worker.Configure(srv.Config)
	srv.Start()
	defer srv.Close()
	states := map[string]beryllatch.RunState{}
	// send returns whether the request was answered.
	send := func(id string, dial func(context.Context, string, string) (net.Conn, error)) bool {
		c := berylworker.New(append(opts, berylworker.WithDial(dial))...)
		defer c.CloseIdle()
		router := mux.NewRouter()
		(&berylcaller.Handler{Node: newOneRequestNode(srv.Listener.Addr().String()), Upstream: &settleOnceUpstream{Client: c}}).Register(router)
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/queues/price/requests", strings.NewReader(id))
		req.Header.Set(berylworker.HeaderRequestID, id)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, req)
		if w.Code == http.StatusOK {
			states[id] = beryllatch.RunStateRun
			return true
		}
		var p berylproblem.Problem
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
		states[id] = p.RunState
		return false
	}
	cut := func(write, read int) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &cutConn{Conn: c, writeLeft: write, readLeft: read}, err
		}
	}
	send("connect", func(context.Context, string, string) (net.Conn, error) { return nil, errCut })
	for n := 0; n < maxExchange && !send(fmt.Sprintf("write-%d", n), cut(n, math.MaxInt)); n++ {
	}
	for n := 0; n < maxExchange && !send(fmt.Sprintf("read-%d", n), cut(math.MaxInt, n)); n++ {
	}
	// The record is complete once the server has ended all handlers.
	srv.Close()
	starts := map[string]int{}
	for _, s := range worker.Record() {
		starts[s.RequestID]++
	}
	seen = map[beryllatch.RunState]int{}
	for _, id := range beryllatch.SortedKeys(states) {
		seen[states[id]]++
		switch n := starts[id]; {
		case states[id] == beryllatch.RunStateNotRun && n > 0:
			wrong = append(wrong, fmt.Sprintf("%s: not run, but started %d times", id, n))
		case states[id] == beryllatch.RunStateRun && n == 0:
			wrong = append(wrong, id+": answered, but not started")
		}
	}
	return seen, wrong
}

// Guards against a caller that is told "not run" of a request that the worker has started, with an error at each step
// from connecting to the last byte of the answer.
func TestNotRunAtEachStep(t *testing.T) {
	seen, wrong := sendWithCuts(t)
	assert.Equal(t, len(wrong), 0, "%v", wrong)
	t.Logf("run states: %v", seen)
	assert.Equal(t, seen[beryllatch.RunStateRun], 2)
	assert.Assert(t, seen[beryllatch.RunStateNotRun] > 100 && seen[beryllatch.RunStateUnknown] > 100)
}

// Guards against a test of refusals that holds without the rule that "not run" needs evidence.
func TestNotRunNeedsEvidence(t *testing.T) {
	seen, wrong := sendWithCuts(t, berylworker.WithAssumeNotSent())
	assert.Assert(t, len(wrong) > 0, "no refusal was false: %v", seen)
	t.Logf("run states: %v; %d false refusals, first %s", seen, len(wrong), wrong[0])
}
