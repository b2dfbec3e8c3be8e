package beryljobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// probeInterval is how often a node asks the scheduling node whether it still schedules.
	probeInterval = 250 * time.Millisecond
	// rearProbeInterval is the interval of nodes that others should take over before. On a large deployment their probes
	// would take a considerable part of the scheduling node's processor time.
	rearProbeInterval = time.Second
	// maxFrontNodes is how many nodes of the same share of a core are first to take over.
	maxFrontNodes = 24
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// maxStoreAge is how long the scheduling node may go without an answer of the store, while this node gets answers,
	// before it is replaced: the time for four missed heartbeats.
	maxStoreAge = 1300 * time.Millisecond
	// largerFactor is how many times the share of a core another node must have to count as larger, and to be preferred
	// for scheduling.
	largerFactor = 1.5
	// minSchedulingTime is the least time that a node schedules before it hands over to a larger one.
	minSchedulingTime = 4 * time.Second
	// minSlowSchedulingTime is the same on a machine that has become slow.
	minSlowSchedulingTime = 1500 * time.Millisecond
	// peerExpiry is how long the scheduling node remembers a node that no longer probes it.
	peerExpiry = 2 * time.Second
	// releaseTimeout bounds the release of the scheduling role. If it fails, the other nodes find out by their probes
	// that the node no longer schedules.
	releaseTimeout = time.Second
)

// watchSchedulingNode probes the scheduling node, and takes over when it has failed.
func (n *Node) watchSchedulingNode(ctx context.Context) {
	var watch failureWatch
	for ctx.Err() == nil {
		if n.stopping.Load() {
			n.waitForProbe(ctx)
		}
		probedEpoch := n.lastEpoch()
		result := n.probeSchedulingNode(ctx)
		if result == probeOK {
			watch = failureWatch{}
			n.waitForNextProbe(ctx)
			continue
		}
		sn, err := n.readSchedulingNode(ctx)
		if err != nil {
			n.waitForProbe(ctx)
			continue
		}
		if sn.Epoch != probedEpoch {
			// Another node has taken over since the probe was sent, so the result is about the previous scheduling
			// node.
			watch = failureWatch{}
			continue
		}
		if n.stopping.Load() {
			n.waitForProbe(ctx)
			continue
		}
		grounds, ok := n.mayTakeOver(ctx, sn, result, &watch)
		if !ok {
			n.waitForProbe(ctx)
			continue
		}
		watch = failureWatch{}
		n.takeOver(ctx, sn, grounds)
	}
}

// lastEpoch returns the epoch of the scheduling node that this node last read from the duty table.
func (n *Node) lastEpoch() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.schedulingNode.Epoch
}

// waitForNextProbe waits after a successful probe; nodes that others should take over before wait longer.
func (n *Node) waitForNextProbe(ctx context.Context) {
	n.mu.Lock()
	interval := probeInterval
	// A node that doesn't get the configuration from the store gets it by its probes.
	current := n.missingSince.IsZero() && !n.readsLate()
	if n.largerNodes > 0 && n.session == nil && current {
		interval = rearProbeInterval
	}
	n.mu.Unlock()
	n.wait(ctx, interval)
}

// waitForProbe waits until the next probe is due, or until wakeLoop asks for one at once.
func (n *Node) waitForProbe(ctx context.Context) { n.wait(ctx, probeInterval) }

func (n *Node) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.wake:
	case <-t.C:
	}
}

// readSchedulingNode reads the duty row and remembers the scheduling node in it.
func (n *Node) readSchedulingNode(ctx context.Context) (schedulingNode, error) {
	row, err := n.rows().Row(ctx, berylscheduler.DutyTable, berylscheduler.Part, berylscheduler.OwnerKey)
	if err != nil {
		return schedulingNode{}, err
	}
	n.storeAnswered()
	var sn schedulingNode
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &sn); err != nil {
			return schedulingNode{}, err
		}
	}
	sn.version = row.Version
	n.mu.Lock()
	defer n.mu.Unlock()
	if sn.Epoch > n.schedulingNode.Epoch {
		n.Log.Event("holder_changed", sn.Node, sn.Address)
	}
	if sn.Epoch >= n.schedulingNode.Epoch {
		n.schedulingNode = sn
	}
	return sn, nil
}

// recordPeer records a node that probes this one, and returns how many nodes should take over before it: those with a larger
// share of a core, and one more if maxFrontNodes equal ones have lower names.
func (n *Node) recordPeer(r *berylwire.ProbeRequest) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers == nil {
		n.peers = make(map[string]peer)
	}
	n.peers[r.GetNode()] = peer{
		address: r.GetAddress(), cpuShare: r.GetCpuShare(), slow: r.GetSlow(), storeAge: time.Duration(r.GetStoreAgeMs()) * time.Millisecond, probedAt: time.Now(),
	}
	largerNodes, equalNodes := 0, 0
	if n.CPUShare > largerFactor*r.GetCpuShare() {
		largerNodes++
	}
	for name, p := range n.peers {
		if time.Since(p.probedAt) > peerExpiry {
			delete(n.peers, name)
			continue
		}
		switch {
		case p.storeAge >= staleAfter:
		case p.cpuShare > largerFactor*r.GetCpuShare():
			largerNodes++
		case p.cpuShare >= r.GetCpuShare() && name < r.GetNode():
			equalNodes++
		}
	}
	if equalNodes >= maxFrontNodes {
		largerNodes++
	}
	return largerNodes
}

// storePeers returns the addresses of the nodes through which this one may reach the store: those that have probed it
// lately and whose last answer of the store is recent, the most recent answer first.
func (n *Node) storePeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []peer
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if p.address != "" && time.Since(p.probedAt) <= probeInterval+probeTimeout && p.storeAge < staleAfter {
			peers = append(peers, p)
		}
	}
	slices.SortStableFunc(peers, func(a, b peer) int { return cmp.Compare(a.storeAge, b.storeAge) })
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.address
	}
	return out
}

// findSuccessor returns the node that should schedule instead of this one: one with a much larger share of a core or, if this machine
// has become slow, one that has not and has no smaller share. It returns "" if there is none, or if this node has not yet scheduled for
// long enough.
func (n *Node) findSuccessor(began time.Time) string {
	slow := n.speed.slow()
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := max(minSchedulingTime, n.Limits.HandoverPause)
	if slow {
		wait = minSlowSchedulingTime
	}
	if time.Since(began) < wait {
		return ""
	}
	successor, largest := "", 0.0
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if p.slow || time.Since(p.probedAt) > probeInterval+probeTimeout || p.storeAge >= staleAfter || p.cpuShare <= largest {
			continue
		}
		if p.cpuShare > largerFactor*n.CPUShare || slow && p.cpuShare >= n.CPUShare {
			successor, largest = name, p.cpuShare
		}
	}
	if slow && successor != "" {
		n.Log.Event("slow_machine", n.Name, "hands over to "+successor)
	}
	return successor
}

// takeOver claims the duty row in a new epoch, and schedules until the epoch ends.
func (n *Node) takeOver(ctx context.Context, previous schedulingNode, grounds takeoverGrounds) {
	// Other nodes may have claimed the row during the delay. A claim that fails takes as much of the store's time as one that
	// succeeds, and delays the first transactions of the new scheduling node.
	if current, err := n.readSchedulingNode(ctx); err != nil || current.version != previous.version {
		return
	}
	sn := schedulingNode{
		Node: n.Name, Address: n.Address, Incarnation: n.incarnation, Epoch: previous.Epoch + 1, CPUShare: n.CPUShare,
		handedOver: previous.Successor != "", predecessorMayAct: grounds.reason.predecessorMayAct(),
	}
	if _, ok := n.acknowledgedBy(previous); grounds.needsAck && !ok {
		return
	}
	sn.claimedAt = time.Now()
	version, err := n.rows().Commit(ctx, beryllatch.RowTransaction{
		Conditions: append([]beryllatch.RowCondition{dutyCondition(previous.version)}, grounds.heartbeat...),
		Puts:       []beryllatch.DataRow{dutyRow(sn)},
	})
	var unknown *beryllatch.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// Whether the claim was applied shows in the row.
		current, readErr := n.readSchedulingNode(ctx)
		if readErr != nil || current.Incarnation != n.incarnation || current.Epoch != sn.Epoch {
			return
		}
		version, err = current.version, nil
	}
	if err != nil {
		n.Log.Event("takeover_failed", n.Name, fmt.Sprintf("%v: %v", grounds, err))
		return
	}
	sn.version = version
	n.Log.Event("takeover", n.Name, grounds.String())
	n.Metrics.Count("takeovers", 1)
	n.runEpoch(ctx, sn)
}

func dutyCondition(version int64) beryllatch.RowCondition {
	return beryllatch.RowCondition{
		Table: berylscheduler.DutyTable, Part: berylscheduler.Part, Key: berylscheduler.OwnerKey, Version: version,
	}
}

func dutyRow(sn schedulingNode) beryllatch.DataRow {
	value, err := json.Marshal(sn)
	if err != nil {
		panic(err) // A struct of texts, numbers and booleans always encodes.
	}
	return beryllatch.DataRow{Table: berylscheduler.DutyTable, Part: berylscheduler.Part, Key: berylscheduler.OwnerKey, Value: value}
}

// runEpoch schedules in the epoch until it ends.
func (n *Node) runEpoch(ctx context.Context, sn schedulingNode) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.claimedEpoch = sn.Epoch
	n.mu.Unlock()
	stopBeating := n.beatUntilSession(ctx, sn)
	s, err := n.newSession(ctx, sn)
	stopBeating()
	if err != nil {
		n.Log.Event("takeover_failed", n.Name, err.Error())
		n.release(ctx, sn, "")
		return
	}
	s.servingSince = time.Now()
	n.mu.Lock()
	n.schedulingNode, n.session = sn, s
	n.mu.Unlock()
	s.update()
	s.run(ctx)
	n.mu.Lock()
	n.session = nil
	n.lastConfirmed = time.Time{}
	n.mu.Unlock()
	s.close()
	if n.stopping.Load() || s.successor != "" {
		n.release(context.WithoutCancel(ctx), sn, s.successor)
	}
}

// release marks the duty row as released, and names the node that should take over, if any.
func (n *Node) release(ctx context.Context, sn schedulingNode, successor string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	released := sn
	released.Released, released.Successor = true, successor
	version, err := n.rows().Commit(ctx, beryllatch.RowTransaction{
		Conditions: []beryllatch.RowCondition{dutyCondition(sn.version)},
		Puts:       []beryllatch.DataRow{dutyRow(released)},
	})
	if err != nil {
		n.Log.Event("release_failed", n.Name, err.Error())
		return
	}
	released.version = version
	n.Log.Event("duty_released", n.Name, "heir "+successor)
}
