package beryljobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
)

const (
	// heartbeatInterval is the pause between two heartbeats of the scheduling node, which it writes to the store.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout bounds the write of a heartbeat: a slow store answers within 100 times its usual 8 ms.
	heartbeatTimeout = 700 * time.Millisecond
	// acquaintanceTime is how long a scheduling node doesn't rely on the word of the other nodes once it answers their probes: by then each
	// has probed it.
	acquaintanceTime = 2 * time.Second
	// reliantHeartbeat follows the incarnation in the heartbeat of a scheduling node that may rely on the word of the others.
	reliantHeartbeat = " relies_on_peers"
	// heartbeatTable holds the heartbeat row. It has a part of its own in the store, apart from the scheduler's rows.
	heartbeatTable = "beat"
)

// beatUntilSession writes heartbeats while the rows of earlier epochs are read, which takes seconds at a slow store: without them, other nodes
// would take over meanwhile. The returned function ends that and waits for it.
func (n *Node) beatUntilSession(ctx context.Context, sn schedulingNode) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		n.keepRunning(ctx, "heartbeats", func(ctx context.Context) {
			for {
				if err := n.renewHeartbeat(ctx, sn, false); err != nil && ctx.Err() == nil {
					n.Log.Event("beat_failed", n.Name, "before the epoch's first event: "+err.Error())
				}
				if !pause(ctx, heartbeatInterval) {
					return
				}
			}
		})
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// sendHeartbeats writes the heartbeat row at intervals until ctx is cancelled.
func (s *session) sendHeartbeats(ctx context.Context) {
	n := s.node
	failing := false
	var stored time.Time
	for {
		sent := time.Now()
		reliant := sent.Sub(s.servingSince) >= acquaintanceTime
		err := n.renewHeartbeat(ctx, s.self, reliant)
		switch {
		case err == nil:
			n.storeAnswered()
			if reliant {
				s.apply(berylscheduler.HeartbeatStored{Sent: sent})
			}
			if failing {
				n.Log.Event("beat_regained", n.Name, "the last stored one: "+ageText(stored))
			}
			failing, stored = false, sent
		case ctx.Err() == nil && !failing:
			failing = true
			n.Log.Event("beat_failed", n.Name, fmt.Sprintf("the last stored one: %s; %v", ageText(stored), err))
		}
		if !pause(ctx, heartbeatInterval) {
			return
		}
	}
}

// renewHeartbeat writes the heartbeat row. reliant tells the other nodes that this one may rely on the word of those that it knows.
func (n *Node) renewHeartbeat(ctx context.Context, sn schedulingNode, reliant bool) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	value := sn.Incarnation
	if reliant {
		value += reliantHeartbeat
	}
	_, err := n.rows().CommitDirectly(ctx, beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
		{Table: heartbeatTable, Part: heartbeatTable, Key: berylscheduler.OwnerKey, Value: []byte(value)},
	}})
	return err
}
