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

// oneRequestNode runs a reducer for one request at a time. Its clock advances only while the request waits.
type oneRequestNode struct {
	mu       sync.Mutex
	r        berylreducer.Reducer
	now      berylreducer.Instant
	effects  chan berylreducer.Effect
	finished bool
}

// newOneRequestNode returns a node with the queue price, whose only worker has the address.
func newOneRequestNode(address string) *oneRequestNode {
	// The clock is a minute ahead of the worker's, so that no start-by time passes on a slow machine.
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

// reduce applies the event, forwards the effects that concern the request, and reports whether there was one.
func (n *oneRequestNode) reduce(e berylreducer.Event) bool {
	acted := false
	for _, x := range n.r.Reduce(n.now, e) {
		switch x.(type) {
		case berylreducer.RenewTenure:
			acted = n.reduce(berylreducer.Renewed{SentAt: n.now, HeadVersion: 1}) || acted
		case berylreducer.Dispatch:
			n.effects <- x
			acted = true
		case berylreducer.Finish, berylreducer.Refuse:
			n.effects <- x
			acted, n.finished = true, true
		}
	}
	return acted
}

// Submit posts the arrival of the request and returns the channel of its effects.
func (n *oneRequestNode) Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect {
	effects := make(chan berylreducer.Effect, 8)
	n.effects = effects
	n.Post(e)
	return effects
}

// Post applies the event, and then advances the clock until the next effect that concerns the request.
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

// settleOnceUpstream passes on the first Settle call for each execution to the worker, over an unbroken connection. Later
// calls serve only to release the team's unit, and would continue after the test; it answers them itself.
type settleOnceUpstream struct {
	*berylworker.Client
	settled sync.Map
}

// Settle passes the call on as if the request had been sent a second later, because a worker refuses to answer about
// executions that were sent less than the clock skew after its own start.
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

// maxExchange exceeds the number of bytes of any request or answer in these tests.
const maxExchange = 2000

var errCut = errors.New("connection cut")

// cutConn breaks once the given number of bytes has been written or read.
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
// request and of the answer. It returns how often callers received each run state, and the cases in which the run state
// contradicts the worker's record.
func sendWithCuts(t *testing.T, opts ...berylworker.Option) (counts map[beryllatch.RunState]int, contradictions []string) {
	t.Helper()
	worker := berylupstream.New(berylupstream.WithRun(0))
	srv := httptest.NewUnstartedServer(worker.Handler())
	worker.Configure(srv.Config)
	srv.Start()
	defer srv.Close()
	states := map[string]beryllatch.RunState{}
	// send sends a request over connections of the dial function and reports whether it was answered.
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
	// The record is complete once all handlers have returned, which Close waits for.
	srv.Close()
	starts := map[string]int{}
	for _, s := range worker.Record() {
		starts[s.RequestID]++
	}
	counts = map[beryllatch.RunState]int{}
	for _, id := range beryllatch.SortedKeys(states) {
		counts[states[id]]++
		switch n := starts[id]; {
		case states[id] == beryllatch.RunStateNotRun && n > 0:
			contradictions = append(contradictions, fmt.Sprintf("%s: not run, but started %d times", id, n))
		case states[id] == beryllatch.RunStateRun && n == 0:
			contradictions = append(contradictions, id+": answered, but not started")
		}
	}
	return counts, contradictions
}

// Guards against a caller that receives "not run" for a request that the worker has started, when the connection breaks
// at any step from connecting to the last byte of the answer.
func TestNotRunAtEachStep(t *testing.T) {
	counts, contradictions := sendWithCuts(t)
	assert.Equal(t, len(contradictions), 0, "%v", contradictions)
	t.Logf("run states: %v", counts)
	assert.Equal(t, counts[beryllatch.RunStateRun], 2)
	assert.Assert(t, counts[beryllatch.RunStateNotRun] > 100 && counts[beryllatch.RunStateUnknown] > 100)
}

// Proves that TestNotRunAtEachStep would fail for a client that reports every failed exchange as not sent.
func TestNotRunNeedsEvidence(t *testing.T) {
	counts, contradictions := sendWithCuts(t, berylworker.WithAssumeNotSent())
	assert.Assert(t, len(contradictions) > 0, "no refusal was false: %v", counts)
	t.Logf("run states: %v; %d false refusals, first %s", counts, len(contradictions), contradictions[0])
}
