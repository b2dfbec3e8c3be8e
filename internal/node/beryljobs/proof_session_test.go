package beryljobs

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"gotest.tools/v3/assert"
)

// slowClaims answers claims of the duty row late; noAnswer tells that the answer is lost.
type slowClaims struct {
	beryllatch.RowStore
	noAnswer bool
	mu       sync.Mutex
	// sent is when the last claim came, and lateBy how long after it was carried out it was answered.
	sent   time.Time
	lateBy time.Duration
}

func (s *slowClaims) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if len(tx.Puts) == 0 || tx.Puts[0].Table != berylscheduler.DutyTable {
		return s.RowStore.Commit(ctx, tx)
	}
	s.mu.Lock()
	s.sent = time.Now()
	s.mu.Unlock()
	version, err := s.RowStore.Commit(ctx, tx)
	time.Sleep(s.lateBy)
	if s.noAnswer && err == nil {
		return 0, &beryllatch.UnknownOutcomeError{Err: context.DeadlineExceeded}
	}
	return version, err
}

// slowClaimCluster calls f with a node that schedules after a claim that was answered late.
func slowClaimCluster(t *testing.T, noAnswer bool, lateBy time.Duration, f func(t *testing.T, c *cluster, s *session, store *slowClaims)) {
	t.Helper()
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		var store *slowClaims
		start := c.startNode
		c.startNode = func(n *Node) {
			store = &slowClaims{RowStore: n.Store, lateBy: lateBy, noAnswer: noAnswer}
			n.Store = store
			start(n)
		}
		c.join(0.4)
		time.Sleep(2*time.Second + lateBy)
		_, s := c.holder(t)
		f(t, c, s, store)
	})
}

// Another node may have taken over right after a claim was carried out: a proof from the time of its late answer would hide that.
func TestClaimProvesTheTimeOfItsRequest(t *testing.T) {
	const lateBy = 1500 * time.Millisecond
	slowClaimCluster(t, false, lateBy, func(t *testing.T, _ *cluster, s *session, store *slowClaims) {
		assert.Assert(t, !s.self.claimedAt.IsZero())
		assert.Assert(t, !s.self.claimedAt.After(store.sent), "%v after the claim was sent", s.self.claimedAt.Sub(store.sent))
		assert.Equal(t, s.scheduler.ClaimedAt, s.self.claimedAt)
	})
}

// A read may be answered from an older state, so that one which shows a claim whose answer was lost proves no more than the claim itself.
func TestLostAnswerOfAClaimProvesTheTimeOfItsRequest(t *testing.T) {
	slowClaimCluster(t, true, time.Second, func(t *testing.T, _ *cluster, s *session, store *slowClaims) {
		assert.Assert(t, !s.self.claimedAt.After(store.sent), "%v after the claim was sent", s.self.claimedAt.Sub(store.sent))
	})
}

// The scheduler must know how old its claim is: it would act by a claim that another node may have replaced meanwhile.
func TestSchedulerKnowsTheAgeOfTheClaim(t *testing.T) {
	for name, c := range map[string]struct {
		lateBy time.Duration
		old    int64
	}{
		"at once": {0, 0},
		"late":    {1500 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			slowClaimCluster(t, false, c.lateBy, func(t *testing.T, cl *cluster, _ *session, _ *slowClaims) {
				assert.Equal(t, cl.nodes[0].Metrics.Counter("decisions.epoch_unproven"), c.old)
			})
		})
	}
}

// noHeartbeats fails the heartbeats alone.
type noHeartbeats struct{ beryllatch.RowStore }

func (s noHeartbeats) Commit(ctx context.Context, tx beryllatch.RowTransaction) (int64, error) {
	if len(tx.Puts) > 0 && tx.Puts[0].Table == heartbeatTable {
		return 0, &beryllatch.UnavailableError{Err: context.DeadlineExceeded}
	}
	return s.RowStore.Commit(ctx, tx)
}

// In an outage of the store the scheduler relies on the other nodes by its last heartbeat: it must learn of each that was stored, and of
// none that failed.
func TestSchedulerKnowsOfStoredHeartbeats(t *testing.T) {
	for name, stored := range map[string]bool{"stored": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 0, func(t *testing.T, c *cluster) {
				start := c.startNode
				c.startNode = func(n *Node) {
					if !stored {
						n.Store = noHeartbeats{n.Store}
					}
					start(n)
				}
				c.join(0.4)
				time.Sleep(acquaintanceTime + time.Second)
				c.holder(t)
				unproven := func() bool { return c.nodes[0].Metrics.Counter("decisions.epoch_unproven") > 0 }
				assert.Assert(t, !unproven())
				c.stores[0].setCut(true)
				time.Sleep(unknownNodeWait - heartbeatLag)
				assert.Equal(t, unproven(), !stored)
				time.Sleep(2 * heartbeatLag)
				assert.Assert(t, unproven())
			})
		})
	}
}

// A transaction that was stored proves the epoch to the echoes, from when it was sent; one that failed proves nothing. Otherwise the node
// would forget nodes too late, or while they may still take over.
func TestTransactionsProveTheEpochToTheEchoes(t *testing.T) {
	const took = 50 * time.Millisecond
	send := map[string]func(s *session){
		"transaction": func(s *session) {
			s.committing.Add(1)
			s.commit(berylscheduler.CommitRows{})
		},
		"confirmation": func(s *session) { s.confirm() },
	}
	for name, f := range send {
		for _, stored := range []bool{true, false} {
			outcome := " stored"
			if !stored {
				outcome = " without an answer"
			}
			t.Run(name+outcome, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, end := context.WithCancel(t.Context())
					defer end()
					store := &timedStore{read: took}
					if stored {
						store.commit = took
					}
					s := &session{
						node: &Node{Store: store, Log: &DecisionLog{}, Metrics: berylmetrics.New()}, ctx: ctx, endEpoch: end,
						storeTimeout: adaptiveTimeout{shortest: minStoreTimeout, longest: maxStoreTimeout},
					}
					var want time.Time
					if stored {
						want = time.Now()
					}
					f(s)
					assert.Equal(t, s.echoes.storeAt, want)
				})
			})
		}
	}
}
