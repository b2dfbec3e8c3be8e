package beryljobs

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

const (
	// heartbeatLag covers a heartbeat interval and the reads by which a node notices that the row no longer changes.
	heartbeatLag = 2 * time.Second
	// echoLag covers the interval of the probes, twice: an echo comes with the next probe.
	echoLag = 2 * (probeInterval + probeTimeout)
)

// holder returns the session of the only node that schedules.
func (c *cluster) holder(t *testing.T) (int, *session) {
	t.Helper()
	nodes := c.schedulingNodes()
	assert.Equal(t, len(nodes), 1)
	return nodes[0], c.nodes[nodes[0]].localSession()
}

// isolate makes the calls to a node fail, either without an answer or as refused.
func (c *cluster) isolate(node int, refused bool) {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	if refused {
		c.mesh.ended[c.nodes[node].Address] = true
	} else {
		c.mesh.unresponsive[c.nodes[node].Address] = true
	}
}

// lossyLink passes requests on to a handler. Once cut, their answers are lost.
type lossyLink struct {
	http.Handler
	mu  sync.Mutex
	cut bool
	// probe is the last probe from before the cut.
	probe *http.Request
	body  []byte
}

func (l *lossyLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.mu.Lock()
	cut := l.cut
	if !cut && strings.HasSuffix(r.URL.Path, "/Probe") {
		l.probe, l.body = r, body
	}
	l.mu.Unlock()
	if !cut {
		l.Handler.ServeHTTP(w, r)
		return
	}
	l.Handler.ServeHTTP(newRecorder(), r)
	<-r.Context().Done()
}

// deliverLate delivers the last probe from before the cut.
func (l *lossyLink) deliverLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.probe.Clone(context.Background())
	r.Body = io.NopCloser(bytes.NewReader(l.body))
	l.Handler.ServeHTTP(newRecorder(), r)
}

// A probe proves that its sender had not taken over when it got the stamp that it echoes, and no more: not that it had not when the probe
// arrived, since its bytes may have been under way through a cut.
func TestProbeWithoutAnEchoProvesNothing(t *testing.T) {
	for _, late := range []bool{false, true} {
		name := "answers are lost"
		if late {
			name = "probe arrives late"
		}
		t.Run(name, func(t *testing.T) {
			testCluster(t, 2, func(t *testing.T, c *cluster) {
				first, s := c.holder(t)
				link := &lossyLink{Handler: c.mesh.handlers[c.nodes[first].Address]}
				c.mesh.mu.Lock()
				c.mesh.handlers[c.nodes[first].Address] = link
				c.mesh.mu.Unlock()
				time.Sleep(5 * time.Second)
				assert.Assert(t, time.Since(s.peers().at) <= echoLag, "proof of %v", time.Since(s.peers().at))
				if late {
					c.isolate(first, false)
				}
				link.mu.Lock()
				link.cut = true
				link.mu.Unlock()
				cut := time.Now()
				for range 20 {
					time.Sleep(500 * time.Millisecond)
					if late {
						link.deliverLate()
					}
					p := s.peers()
					assert.Assert(t, !p.at.IsZero() && !p.at.After(cut), "proof of %v after the cut", p.at.Sub(cut))
					assert.Equal(t, p.last, c.nodes[1-first].Name)
				}
			})
		})
	}
}

// The scheduling node believes only stamps of its epoch that it can have given, and nothing while a node has never echoed one.
func TestEchoes(t *testing.T) {
	now := time.Now()
	const stamp = int64(10 * time.Second)
	var p peerEchoes
	none := p.state(now, stamp)
	assert.Equal(t, none.at, now, "nobody can have taken over")
	p.record("a", stamp-int64(time.Second), stamp, now)
	p.record("a", stamp-int64(2*time.Second), stamp, now)
	p.record("a", stamp+1, stamp, now)
	assert.Equal(t, p.state(now, stamp).at, now.Add(-time.Second), "the latest stamp, but none of the future")
	p.record("b", 0, stamp, now)
	s := p.state(now, stamp)
	assert.Assert(t, s.at.IsZero())
	assert.Equal(t, s.missing, 1)
	p.record("b", stamp-int64(3*time.Second), stamp, now)
	assert.Equal(t, p.state(now, stamp), peersState{at: now.Add(-3 * time.Second), last: "b", silence: 3 * time.Second})
}

// An echo of another epoch proves nothing.
func TestEchoOfAnotherEpoch(t *testing.T) {
	s := &session{began: time.Now().Add(-time.Minute), self: schedulingNode{Epoch: 2}, node: &Node{}}
	stamp := s.recordProbe(&berylwire.ProbeRequest{Node: "a"})
	s.recordProbe(&berylwire.ProbeRequest{Node: "a", EchoedStamp: stamp, EchoedEpoch: 1})
	assert.Assert(t, s.peers().at.IsZero())
	s.recordProbe(&berylwire.ProbeRequest{Node: "a", EchoedStamp: stamp, EchoedEpoch: 2})
	assert.Assert(t, !s.peers().at.IsZero())
}

// A node that has gone must hold the proof back until it can no longer take over, and not for longer.
func TestGoneNodeIsForgotten(t *testing.T) {
	testCluster(t, 3, func(t *testing.T, c *cluster) {
		first, s := c.holder(t)
		gone := c.nodes[(first+1)%len(c.nodes)].Name
		c.mesh.dropAnswersTo(gone)
		began := time.Now()
		time.Sleep(knownPeerTime - time.Second)
		assert.Assert(t, !s.peers().at.After(began))
		assert.Equal(t, s.peers().last, gone)
		time.Sleep(2 * time.Second)
		assert.Assert(t, time.Since(s.peers().at) <= echoLag)
	})
}

// Without the store, the scheduling node goes on until unknownNodeWait after its last heartbeat, unless a node that it knows may have taken over. So
// a node to which it has never answered must wait for that long. A refused connection proves nothing: it may have been cut on the way.
func TestUnacknowledgedNodeWaitsForAnOldHeartbeat(t *testing.T) {
	for name, refused := range map[string]bool{"no answer": false, "connections are refused": true} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 1, func(t *testing.T, c *cluster) {
				_, s := c.holder(t)
				c.isolate(0, refused)
				c.join(0.4)
				time.Sleep(5 * time.Second)
				assert.Equal(t, c.epoch(), int64(1), "the heartbeat shows that the scheduling node works")
				c.stores[0].setCut(true)
				time.Sleep(unknownNodeWait - heartbeatInterval)
				assert.Equal(t, c.epoch(), int64(1))
				assert.Assert(t, s.ctx.Err() == nil, "the scheduling node goes on")
				assert.Assert(t, time.Since(s.peers().at) <= tickInterval, "nobody has shown that it may take over")
				time.Sleep(heartbeatLag)
				assert.Equal(t, c.epoch(), int64(2))
			})
		})
	}
}

// When all nodes restart and the machine of the scheduling node stays away, nobody has its answer, and its last heartbeat may be recent.
func TestRestartWaitsForAnOldHeartbeat(t *testing.T) {
	restart(t, func(t *testing.T, c *cluster) {
		_, err := c.store.Commit(t.Context(), beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
			{Table: heartbeatTable, Part: heartbeatTable, Key: berylscheduler.OwnerKey, Value: []byte("1" + reliantHeartbeat)},
		}})
		assert.NilError(t, err)
		for range 6 {
			c.join(0.8)
		}
		time.Sleep(unknownNodeWait)
		assert.Equal(t, len(c.schedulingNodes()), 0)
		time.Sleep(heartbeatLag)
		assert.Equal(t, len(c.schedulingNodes()), 1)
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// An answer allows a node to take over from that epoch of that process alone, and not for long.
func TestAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{acknowledged: acknowledgement{incarnation: "1", epoch: 3, sent: time.Now()}, incarnation: "own", claimedEpoch: 2}
		for name, c := range map[string]struct {
			sn   schedulingNode
			want bool
		}{
			"the same epoch":      {schedulingNode{Incarnation: "1", Epoch: 3}, true},
			"a later epoch":       {schedulingNode{Incarnation: "1", Epoch: 4}, false},
			"another incarnation": {schedulingNode{Incarnation: "2", Epoch: 3}, false},
			"own epoch":           {schedulingNode{Incarnation: "own", Epoch: 2}, true},
			"own late claim":      {schedulingNode{Incarnation: "own", Epoch: 4}, true},
			"own older claim":     {schedulingNode{Incarnation: "own", Epoch: 5}, false},
		} {
			_, ok := n.acknowledgedBy(c.sn)
			assert.Equal(t, ok, c.want, name)
		}
		time.Sleep(ackValidity)
		_, ok := n.acknowledgedBy(schedulingNode{Incarnation: "1", Epoch: 3})
		assert.Assert(t, !ok)
		_, ok = n.acknowledgedBy(schedulingNode{Incarnation: "own", Epoch: 4})
		assert.Assert(t, !ok)
		_, ok = n.acknowledgedBy(schedulingNode{Incarnation: "own", Epoch: 2})
		assert.Assert(t, ok, "the epoch has ended with its session")
	})
}

// silentHolder returns a node beside a scheduling node without a sign of life, after the time for a takeover has passed, and the grounds for it.
func silentHolder(t *testing.T) (*Node, *memoryStore, schedulingNode, takeoverGrounds) {
	t.Helper()
	store := &memoryStore{rows: make(map[string]beryllatch.DataRow)}
	_, err := store.Commit(t.Context(), beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
		dutyRow(schedulingNode{Node: "silent", Address: "silent", Incarnation: "1", Epoch: 1}),
		{Table: heartbeatTable, Part: heartbeatTable, Key: berylscheduler.OwnerKey},
	}})
	assert.NilError(t, err)
	n := &Node{Name: "n", Store: store, View: plainView{}, Log: &DecisionLog{}, Metrics: berylmetrics.New(), incarnation: "2"}
	sn, err := n.readSchedulingNode(t.Context())
	assert.NilError(t, err)
	var watch failureWatch
	_, ok := n.mayTakeOver(t.Context(), sn, probeFailed, &watch)
	assert.Assert(t, !ok)
	time.Sleep(unknownNodeWait + time.Second)
	grounds, ok := n.mayTakeOver(t.Context(), sn, probeFailed, &watch)
	assert.Assert(t, ok)
	return n, store, sn, grounds
}

// A heartbeat that is stored after the last look at it must make the claim fail: the scheduling node may rely on it.
func TestClaimFailsAfterAHeartbeat(t *testing.T) {
	for name, heartbeat := range map[string]bool{"heartbeat": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, store, sn, grounds := silentHolder(t)
				assert.Equal(t, grounds.reason, takeoverSilent)
				assert.Assert(t, grounds.silence >= unknownNodeWait)
				if heartbeat {
					assert.NilError(t, n.renewHeartbeat(t.Context(), sn, true))
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				n.takeOver(ctx, sn, grounds)
				row, err := store.Row(t.Context(), berylscheduler.DutyTable, berylscheduler.Part, berylscheduler.OwnerKey)
				assert.NilError(t, err)
				assert.Equal(t, row.Version == sn.version, heartbeat)
			})
		})
	}
}

// A node that was paused between its decision and its claim must not claim by an answer that is too old by then.
func TestClaimNeedsARecentAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, store, sn, _ := silentHolder(t)
		n.acknowledged = acknowledgement{incarnation: sn.Incarnation, epoch: sn.Epoch, sent: time.Now()}
		var watch failureWatch
		grounds, ok := n.mayTakeOver(t.Context(), sn, probeRefused, &watch)
		assert.Assert(t, ok)
		assert.Equal(t, grounds.reason, takeoverProcessEnded)
		time.Sleep(ackValidity)
		before := store.commitAttempts()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		n.takeOver(ctx, sn, grounds)
		assert.Equal(t, store.commitAttempts(), before)
	})
}

// A node whose probes have been lost for a while may still take over by its last answer. The scheduling node must not forget it then, and
// go on by a heartbeat from before the takeover.
func TestLateTakeoverIsNotForgotten(t *testing.T) {
	testCluster(t, 2, func(t *testing.T, c *cluster) {
		first, s := c.holder(t)
		second := c.nodes[1-first]
		acknowledged := time.Now()
		c.mesh.dropAnswersTo(second.Name)
		time.Sleep(7 * time.Second)
		c.stores[first].setCut(true)
		for second.localSession() == nil {
			assert.Assert(t, time.Since(acknowledged) < ackValidity, "the takeover needs the answer")
			time.Sleep(10 * time.Millisecond)
		}
		tookOver := time.Now()
		for time.Since(tookOver) < 2*(knownPeerTime+unknownNodeWait) {
			time.Sleep(100 * time.Millisecond)
			at := s.peers().at
			assert.Assert(t, !at.After(tookOver), "%v after the takeover, proof of %v after it", time.Since(tookOver), at.Sub(tookOver))
		}
	})
}

// lateStore carries out the first claim of the duty row late, and without an answer.
type lateStore struct {
	beryllatch.RowStore
	once sync.Once
}

func (s *lateStore) Commit(ctx context.Context, tx beryllatch.RowTransaction) (version int64, err error) {
	claim := false
	if len(tx.Puts) > 0 && tx.Puts[0].Table == berylscheduler.DutyTable {
		s.once.Do(func() { claim = true })
	}
	if !claim {
		return s.RowStore.Commit(ctx, tx)
	}
	time.AfterFunc(time.Second, func() { _, _ = s.RowStore.Commit(context.Background(), tx) })
	return 0, &beryllatch.UnknownOutcomeError{Err: context.DeadlineExceeded}
}

// A claim that the store carries out after the node has given it up must not keep the scheduling role from all nodes for the whole tenure.
func TestClaimThatIsCarriedOutLate(t *testing.T) {
	testCluster(t, 1, func(t *testing.T, c *cluster) {
		start := c.startNode
		c.startNode = func(n *Node) {
			n.Store = &lateStore{RowStore: n.Store}
			start(n)
		}
		c.join(0.4)
		time.Sleep(2 * time.Second)
		// The scheduling node hears nothing any more: it must not take part in what follows.
		c.isolate(0, false)
		c.stores[0].setCut(true)
		time.Sleep(6 * time.Second)
		assert.Assert(t, c.nodes[1].localSession() != nil)
		assert.Equal(t, c.epoch(), int64(3))
	})
}

// lockedBuffer is a buffer for the lines of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// count returns the number of lines of an event.
func (l *lockedBuffer) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), `"message":"`+event+`"`)
}

// The log must show once which node holds the proof back and that the heartbeat fails, and once that they are well again.
func TestMissingEchoIsLogged(t *testing.T) {
	var lines lockedBuffer
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		start := c.startNode
		c.startNode = func(n *Node) {
			n.Log = &DecisionLog{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, LinesPerSecond: 1000}
			start(n)
		}
		c.join(0.4)
		c.join(0.4)
		time.Sleep(2 * time.Second)
		first, _ := c.holder(t)
		assert.Equal(t, lines.count("takeover"), 1)
		assert.Equal(t, lines.count("peers_silent")+lines.count("beat_failed"), 0)
		c.mesh.dropAnswersTo(c.nodes[1-first].Name)
		for _, s := range c.stores {
			s.setCut(true)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, lines.count("peers_silent"), 1)
		assert.Equal(t, lines.count("beat_failed"), 1)
		assert.Equal(t, lines.count("peers_regained")+lines.count("beat_regained"), 0)
		for _, s := range c.stores {
			s.setCut(false)
		}
		time.Sleep(knownPeerTime + time.Second)
		assert.Equal(t, lines.count("peers_silent"), 1)
		assert.Equal(t, lines.count("beat_failed"), 1)
		assert.Equal(t, lines.count("peers_regained"), 1)
		assert.Equal(t, lines.count("beat_regained"), 1)
	})
}

// oldReads answers reads of the duty row from an older state.
type oldReads struct {
	beryllatch.RowStore
	mu  sync.Mutex
	row *beryllatch.DataRow
}

func (s *oldReads) Row(ctx context.Context, table, part, key string) (beryllatch.DataRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == berylscheduler.DutyTable && s.row != nil {
		return *s.row, nil
	}
	return s.RowStore.Row(ctx, table, part, key)
}

// A read that is answered from an older state must not tell a replaced scheduling node that it still schedules.
func TestOldReadDoesNotProveTheEpoch(t *testing.T) {
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		var reads *oldReads
		start := c.startNode
		c.startNode = func(n *Node) {
			reads = &oldReads{RowStore: n.Store}
			n.Store = reads
			start(n)
		}
		c.join(0.4)
		time.Sleep(2 * time.Second)
		s := c.nodes[0].localSession()
		row, err := reads.Row(context.Background(), berylscheduler.DutyTable, berylscheduler.Part, berylscheduler.OwnerKey)
		assert.NilError(t, err)
		reads.mu.Lock()
		reads.row = &row
		reads.mu.Unlock()
		_, err = c.store.Commit(context.Background(), beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
			dutyRow(schedulingNode{Node: "successor", Address: "successor", Incarnation: "1", Epoch: s.self.Epoch + 1}),
		}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, s.ctx.Err() != nil, "the epoch of a replaced node goes on")
	})
}

// oldTables answers the first read of a table from an older state, and says so by its version.
type oldTables struct {
	beryllatch.RowStore
	table string
	reads int
}

func (s *oldTables) Rows(ctx context.Context, table, part string) ([]beryllatch.DataRow, int64, error) {
	rows, version, err := s.RowStore.Rows(ctx, table, part)
	if table == s.table {
		s.reads++
		if s.reads == 1 {
			return nil, 1, err
		}
	}
	return rows, version, err
}

// A takeover must not continue from rows of an older state than its own claim: workers with runs would be missing.
func TestTakeoverReadsNoOlderStateThanItsClaim(t *testing.T) {
	for _, table := range []string{
		berylscheduler.JobsTable, berylscheduler.ProgressTable, berylscheduler.WorkersTable, berylscheduler.WavesTable, berylscheduler.BarrierTable, plainView{}.WorkersTable(),
	} {
		t.Run(table, func(t *testing.T) {
			testCluster(t, 0, func(t *testing.T, c *cluster) {
				// The claim has a higher version than the older state.
				for range 3 {
					_, err := c.store.Commit(context.Background(), beryllatch.RowTransaction{})
					assert.NilError(t, err)
				}
				var tables *oldTables
				start := c.startNode
				c.startNode = func(n *Node) {
					tables = &oldTables{RowStore: n.Store, table: table}
					n.Store = tables
					start(n)
				}
				c.join(0.4)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(c.schedulingNodes()), 1)
				assert.Assert(t, tables.reads > 1, "a read of an older state was taken")
			})
		})
	}
}

// If a successor fails before it has answered a probe, the others must not wait for unknownNodeWait: it has stored no heartbeat to rely on.
func TestSuccessorThatFailsAtOnceIsReplaced(t *testing.T) {
	testCluster(t, 8, func(t *testing.T, c *cluster) {
		lost := make(map[int]bool)
		awaitNext := func() int {
			for began := time.Now(); time.Since(began) < unknownNodeWait; time.Sleep(time.Millisecond) {
				for _, i := range c.schedulingNodes() {
					if !lost[i] {
						return i
					}
				}
			}
			return -1
		}
		for range 2 {
			i := awaitNext()
			lost[i] = true
			c.isolate(i, false)
			c.stores[i].setCut(true)
		}
		failed := time.Now()
		assert.Assert(t, awaitNext() >= 0, "no node schedules")
		assert.Assert(t, time.Since(failed) < 4*time.Second, "scheduling goes on after %v", time.Since(failed))
	})
}
