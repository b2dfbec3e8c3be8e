package beryljobs

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
)

const (
	// minStoreContact is how long this node must have reached the store during that time. It rules out that an outage
	// for all nodes has just ended: then the scheduling node reaches the store again a moment later.
	minStoreContact = 600 * time.Millisecond
	// Another node takes over when the heartbeat row has not changed for heartbeatExpiry (three heartbeat intervals)
	// plus storeDelayFactor times the time that the store takes to answer.
	heartbeatExpiry  = 900 * time.Millisecond
	storeDelayFactor = 2
	// takeoverSpread bounds the part of the delay that differs from node to node, so that they don't all take over at
	// once.
	takeoverSpread = 60 * time.Millisecond
	// smallNodeDelay is added for a node while others have a larger share of a core. It is longer than those need to
	// notice that the scheduling node has failed.
	smallNodeDelay = 350 * time.Millisecond
	// successorDelay is how long the other nodes leave a released scheduling role to the node that was named as
	// successor.
	successorDelay = 800 * time.Millisecond
)

// failureWatch holds since when the scheduling node has shown signs of a failure.
type failureWatch struct {
	epoch            int64
	heartbeatVersion int64
	// unchangedSince is since when the heartbeat row has had this version in this epoch.
	unchangedSince time.Time
	// noStoreSince is since when the scheduling node has been without the store while this node has reached it.
	noStoreSince time.Time
}

// takeoverReason is why a node takes over.
type takeoverReason string

const (
	takeoverReleased takeoverReason = "released"
	// takeoverProcessEnded means that nothing listens at the scheduling node's address.
	takeoverProcessEnded takeoverReason = "process_ended"
	// takeoverOtherIncarnation means that the scheduling node's process has started again.
	takeoverOtherIncarnation takeoverReason = "other_incarnation"
	// takeoverNoStore means that the scheduling node has lost the store.
	takeoverNoStore takeoverReason = "no_store"
	// takeoverSilent means that the scheduling node neither answers nor stores its heartbeat.
	takeoverSilent takeoverReason = "silent"
)

// predecessorMayAct reports whether the process of the scheduling node before may still run, and has not released the role.
func (r takeoverReason) predecessorMayAct() bool {
	return r != takeoverReleased && r != takeoverOtherIncarnation
}

// takeoverGrounds is why a node may take over, and what must still hold when it claims the duty row.
type takeoverGrounds struct {
	reason takeoverReason
	// silence is how long the scheduling node had shown signs of a failure.
	silence time.Duration
	// needsAck is true if the scheduling node must have answered a probe of this node lately.
	needsAck bool
	// heartbeat is the condition that the heartbeat row has not changed; empty if that doesn't matter.
	heartbeat []beryllatch.RowCondition
}

// String implements fmt.Stringer.
func (g takeoverGrounds) String() string {
	if g.silence == 0 {
		return string(g.reason)
	}
	return fmt.Sprintf("%s for %v", g.reason, g.silence)
}

// mayTakeOver reports whether this node may take over, and why: the scheduling node has released the role, its process
// has ended, or it has failed for so long that a delay or an outage of the store is ruled out. For some of these it first
// waits for takeoverDelay.
func (n *Node) mayTakeOver(ctx context.Context, sn schedulingNode, result probeResult, watch *failureWatch) (takeoverGrounds, bool) {
	delay := n.takeoverDelay(sn)
	if sn.Epoch == 0 || sn.Released {
		g := takeoverGrounds{reason: takeoverReleased}
		if sn.Successor == n.Name {
			return g, true
		}
		if sn.Successor != "" {
			delay += successorDelay
		}
		return g, pause(ctx, delay)
	}
	if sn.Node == n.Name && sn.Incarnation != n.incarnation {
		// The row is of an earlier incarnation of this very node, whose process has ended.
		return takeoverGrounds{reason: takeoverOtherIncarnation}, true
	}
	switch result {
	case probeOtherIncarnation:
		return takeoverGrounds{reason: takeoverOtherIncarnation}, pause(ctx, delay)
	case probeRefused:
		if silence, ok := n.acknowledgedBy(sn); ok {
			return takeoverGrounds{reason: takeoverProcessEnded, silence: silence, needsAck: true}, pause(ctx, delay)
		}
	case probeNoStore:
		if watch.noStoreSince.IsZero() {
			watch.noStoreSince = time.Now()
		}
		silence := time.Since(watch.noStoreSince)
		return takeoverGrounds{reason: takeoverNoStore, silence: silence, needsAck: true}, silence >= minStoreContact+delay
	case probeFailed, probeOK:
	}
	watch.noStoreSince = time.Time{}
	return n.heartbeatExpired(ctx, sn, watch, result == probeRefused, delay)
}

// heartbeatExpired reports whether this node may take over because the heartbeat row has not changed. refused tells that
// nothing listens at the scheduling node's address, or that the connection to it is cut in a way that looks the same.
func (n *Node) heartbeatExpired(
	ctx context.Context, sn schedulingNode, watch *failureWatch, refused bool, delay time.Duration,
) (takeoverGrounds, bool) {
	sent := time.Now()
	heartbeat, err := n.rows().Row(ctx, heartbeatTable, heartbeatTable, berylscheduler.OwnerKey)
	if err != nil {
		return takeoverGrounds{}, false
	}
	g := takeoverGrounds{reason: takeoverSilent, heartbeat: []beryllatch.RowCondition{{
		Table: heartbeatTable, Part: heartbeatTable, Key: berylscheduler.OwnerKey, Version: heartbeat.Version,
	}}}
	// A scheduling node that has stored no such heartbeat doesn't rely on the word of others: there is nothing to wait for, and the
	// claim fails if it has stored one by then.
	value := string(heartbeat.Value)
	independent := value != sn.Incarnation+reliantHeartbeat
	if refused && independent && value != sn.Incarnation {
		g.reason = takeoverProcessEnded
		return g, pause(ctx, delay)
	}
	if watch.epoch != sn.Epoch || watch.heartbeatVersion != heartbeat.Version {
		*watch = failureWatch{epoch: sn.Epoch, heartbeatVersion: heartbeat.Version, unchangedSince: time.Now()}
		return g, false
	}
	wait := heartbeatExpiry + storeDelayFactor*time.Since(sent)
	_, acknowledged := n.acknowledgedBy(sn)
	switch {
	case independent:
	case acknowledged:
		g.needsAck = true
	default:
		wait = max(wait, unknownNodeWait)
	}
	g.silence = time.Since(watch.unchangedSince)
	return g, g.silence >= wait+delay
}

// acknowledgedBy reports whether the scheduling node has lately answered a probe in its present epoch, and how long ago
// that probe was sent. The scheduling node then knows this node, and doesn't rely on its silence. If the row names this very process,
// its epoch has ended, or the store has carried out its claim after the node had given it up; then the answer of the node that
// scheduled before counts.
func (n *Node) acknowledgedBy(sn schedulingNode) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.acknowledged
	age = elapsed(a.sent)
	recent := age < ackValidity
	if sn.Incarnation == n.incarnation {
		return age, n.claimedEpoch == sn.Epoch || recent && a.epoch == sn.Epoch-1
	}
	return age, recent && a.incarnation == sn.Incarnation && a.epoch >= sn.Epoch
}

// takeoverDelay returns how long this node waits before it takes over from the given node. Nodes with a larger share of a
// core go first. A node that has just started has not been told of them, and goes by the share of the previous scheduling
// node. The part that is derived from the name keeps equal nodes apart.
func (n *Node) takeoverDelay(previous schedulingNode) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.Name)) // A hash never fails.
	delay := time.Duration(h.Sum32()%uint32(takeoverSpread.Milliseconds())) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.largerNodes > 0 || previous.CPUShare > largerFactor*n.CPUShare {
		delay += smallNodeDelay
	}
	return delay
}
