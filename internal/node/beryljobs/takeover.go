package beryljobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
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
	// minStoreContact is how long this node must have reached the store during that time. It rules out that an outage
	// for all nodes has just ended: then the scheduling node reaches the store again a moment later.
	minStoreContact = 600 * time.Millisecond
	// heartbeatInterval is the pause between two heartbeats of the scheduling node, which it writes to the store.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout bounds the write of a heartbeat: a slow store answers within 100 times its usual 8 ms.
	heartbeatTimeout = 700 * time.Millisecond
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
	// acquaintanceTime is how long a scheduling node doesn't rely on the word of the other nodes once it answers their probes: by then each
	// has probed it.
	acquaintanceTime = 2 * time.Second
	// reliantHeartbeat follows the incarnation in the heartbeat of a scheduling node that may rely on the word of the others.
	reliantHeartbeat = " relies_on_peers"
	// heartbeatTable holds the heartbeat row. It has a part of its own in the store, apart from the scheduler's rows.
	heartbeatTable = "beat"
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
