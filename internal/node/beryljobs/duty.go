package beryljobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// probeInterval is how often a node asks the holder whether it still schedules.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// holderStoreAge is for how long the holder may be without the store while this node reaches it: three beats.
	holderStoreAge = 1300 * time.Millisecond
	// storeWatch is for how long this node must have reached the store meanwhile, which rules out an outage that has just
	// ended.
	storeWatch = 600 * time.Millisecond
	// beatInterval is how often the holder renews its sign of life at the store.
	beatInterval = 300 * time.Millisecond
	// beatTimeout bounds a beat: a slow store answers within 100 times its usual 8 ms.
	beatTimeout = 700 * time.Millisecond
	// silence is how long the holder's sign of life must not change before another node takes over: three beats, and
	// slowFactor times the time that the store takes to answer.
	silence    = 900 * time.Millisecond
	slowFactor = 2
	// spread keeps nodes from taking over all at once.
	spread = 60 * time.Millisecond
	// smallDelay holds nodes back while others have more of a core: longer than the others take to notice.
	smallDelay = 350 * time.Millisecond
	// heirDelay keeps a released duty for the node that is named to take it.
	heirDelay = 800 * time.Millisecond
	// shareFactor is by how much more of a core makes a node the better one to schedule.
	shareFactor = 1.5
	// handBackAfter is the least time before a node hands the duty to a larger one.
	handBackAfter = 4 * time.Second
	// peerAge is how long the holder remembers a node that no longer probes it.
	peerAge = 2 * time.Second
	// releaseTimeout bounds the release of the duty: after it the other nodes notice that the holder has gone.
	releaseTimeout = time.Second
	// beatTable holds the holder's sign of life, in a part of its own.
	beatTable = "beat"
)

// keepDuty follows the holder of the duty, and takes over when it falls silent.
func (n *Node) keepDuty(ctx context.Context) {
	var watch silenceWatch
	for ctx.Err() == nil {
		if n.stopping.Load() {
			n.waitWake(ctx)
		}
		probed := n.knownEpoch()
		found := n.probeHolder(ctx)
		if found == holderWell {
			watch = silenceWatch{}
			n.waitWake(ctx)
			continue
		}
		h, err := n.readHolder(ctx)
		if err != nil {
			n.waitWake(ctx)
			continue
		}
		if h.Epoch != probed {
			// Another node has taken over meanwhile: what the probe has found is about its predecessor.
			watch = silenceWatch{}
			continue
		}
		if n.stopping.Load() || !n.mayTakeOver(ctx, h, found, &watch) {
			n.waitWake(ctx)
			continue
		}
		watch = silenceWatch{}
		n.takeOver(ctx, h)
	}
}

// knownEpoch returns the epoch of the holder that this node knows.
func (n *Node) knownEpoch() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.Epoch
}

// waitWake waits until the next probe is due, or until it is needed at once.
func (n *Node) waitWake(ctx context.Context) {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.wake:
	case <-t.C:
	}
}

// silenceWatch tells since when the holder's sign of life has not changed.
type silenceWatch struct {
	epoch   int64
	version int64
	since   time.Time
	// cutSince is since when the holder has been without the store while this node has reached it.
	cutSince time.Time
}

// readHolder reads the duty row and remembers the holder.
func (n *Node) readHolder(ctx context.Context) (holder, error) {
	row, err := n.rows().Row(ctx, berylscheduler.DutyTable, berylscheduler.Part, berylscheduler.OwnerKey)
	if err != nil {
		return holder{}, err
	}
	n.storeAnswered()
	var h holder
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &h); err != nil {
			return holder{}, err
		}
	}
	h.version = row.Version
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.Epoch > n.holder.Epoch {
		n.Log.Event("holder_changed", h.Node, h.Address)
	}
	if h.Epoch >= n.holder.Epoch {
		n.holder = h
	}
	return h, nil
}

// mayTakeOver reports whether the holder has given up, has ended, or has surely fallen silent.
func (n *Node) mayTakeOver(ctx context.Context, h holder, found holderState, watch *silenceWatch) bool {
	delay := n.takeoverDelay()
	if h.Epoch == 0 || h.Released {
		if h.Heir == n.Name {
			return true
		}
		if h.Heir != "" {
			delay += heirDelay
		}
		return pause(ctx, delay)
	}
	if h.Node == n.Name && h.Incarnation != n.incarnation {
		// An earlier incarnation of this very node.
		return true
	}
	if found == holderGone {
		return pause(ctx, delay)
	}
	if found == holderCut {
		if watch.cutSince.IsZero() {
			watch.cutSince = time.Now()
		}
		return time.Since(watch.cutSince) >= storeWatch+delay
	}
	watch.cutSince = time.Time{}
	asked := time.Now()
	beat, err := n.rows().Row(ctx, beatTable, beatTable, berylscheduler.OwnerKey)
	if err != nil {
		return false
	}
	if watch.epoch != h.Epoch || watch.version != beat.Version {
		*watch = silenceWatch{epoch: h.Epoch, version: beat.Version, since: time.Now()}
		return false
	}
	return time.Since(watch.since) >= silence+slowFactor*time.Since(asked)+delay
}

// takeoverDelay lets nodes with more of a core go first, each with its own part of the spread.
func (n *Node) takeoverDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.Name)) // A hash never fails.
	delay := time.Duration(h.Sum32()%uint32(spread.Milliseconds())) * time.Millisecond
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.larger > 0 {
		delay += smallDelay
	}
	return delay
}

// notePeer remembers a node that probes the holder, and counts those with more of a core that could take over.
func (n *Node) notePeer(r *berylwire.ProbeRequest) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers == nil {
		n.peers = make(map[string]peer)
	}
	n.peers[r.GetNode()] = peer{
		address: r.GetAddress(), cpuShare: r.GetCpuShare(), storeAge: time.Duration(r.GetStoreAgeMs()) * time.Millisecond, at: time.Now(),
	}
	larger := 0
	if n.CPUShare > shareFactor*r.GetCpuShare() {
		larger++
	}
	for name, p := range n.peers {
		if time.Since(p.at) > peerAge {
			delete(n.peers, name)
			continue
		}
		if p.cpuShare > shareFactor*r.GetCpuShare() && p.storeAge < staleAfter {
			larger++
		}
	}
	return larger
}

// lenders returns the nodes whose last probe has reached this node in time and that have lately reached the store, those that have heard from the store last first.
func (n *Node) lenders() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near []peer
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if p.address != "" && time.Since(p.at) <= probeInterval+probeTimeout && p.storeAge < staleAfter {
			near = append(near, p)
		}
	}
	slices.SortStableFunc(near, func(a, b peer) int { return cmp.Compare(a.storeAge, b.storeAge) })
	out := make([]string, len(near))
	for i, p := range near {
		out[i] = p.address
	}
	return out
}

// findHeir returns the node with far more of a core than this one that should schedule instead, if there is one and this
// node has held the duty for long enough.
func (n *Node) findHeir(began time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(began) < max(handBackAfter, n.Limits.HandoverPause) {
		return ""
	}
	heir, share := "", shareFactor*n.CPUShare
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if time.Since(p.at) <= probeInterval+probeTimeout && p.storeAge < staleAfter && p.cpuShare > share {
			heir, share = name, p.cpuShare
		}
	}
	return heir
}

// takeOver claims the duty in a new epoch, and schedules until the epoch ends.
func (n *Node) takeOver(ctx context.Context, old holder) {
	h := holder{Node: n.Name, Address: n.Address, Incarnation: n.incarnation, Epoch: old.Epoch + 1, handed: old.Heir != ""}
	version, err := n.rows().Commit(ctx, beryllatch.RowTransaction{
		Conditions: []beryllatch.RowCondition{dutyCondition(old.version)},
		Puts:       []beryllatch.DataRow{dutyRow(h)},
	})
	var unknown *beryllatch.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// The row tells whether the claim was applied.
		now, readErr := n.readHolder(ctx)
		if readErr != nil || now.Incarnation != n.incarnation || now.Epoch != h.Epoch {
			return
		}
		version, err = now.version, nil
	}
	if err != nil {
		n.Log.Event("takeover_failed", n.Name, err.Error())
		return
	}
	h.version = version
	n.Log.Event("takeover", n.Name, n.storeAge().String())
	n.Metrics.Count("takeovers", 1)
	n.lead(ctx, h)
}

func dutyCondition(version int64) beryllatch.RowCondition {
	return beryllatch.RowCondition{
		Table: berylscheduler.DutyTable, Part: berylscheduler.Part, Key: berylscheduler.OwnerKey, Version: version,
	}
}

func dutyRow(h holder) beryllatch.DataRow {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // The type has only texts and numbers.
	}
	return beryllatch.DataRow{Table: berylscheduler.DutyTable, Part: berylscheduler.Part, Key: berylscheduler.OwnerKey, Value: value}
}

// lead schedules in the epoch until it ends.
func (n *Node) lead(ctx context.Context, h holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := n.newSession(ctx, h)
	if err != nil {
		n.Log.Event("takeover_failed", n.Name, err.Error())
		n.release(ctx, h, "")
		return
	}
	n.mu.Lock()
	n.holder, n.session = h, s
	operations := n.operations
	n.mu.Unlock()
	if d := n.deployment.Load(); d != nil {
		s.apply(berylscheduler.DeploymentChanged{Deployment: d})
	}
	s.apply(berylscheduler.OperationsChanged{Operations: operations})
	s.run(ctx)
	n.mu.Lock()
	n.session = nil
	n.holderHeard = time.Time{}
	n.mu.Unlock()
	s.close()
	if n.stopping.Load() || s.heir != "" {
		n.release(context.WithoutCancel(ctx), h, s.heir)
	}
}

// release tells the other nodes that the duty is free, and who should take it.
func (n *Node) release(ctx context.Context, h holder, heir string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	free := h
	free.Released, free.Heir = true, heir
	version, err := n.rows().Commit(ctx, beryllatch.RowTransaction{
		Conditions: []beryllatch.RowCondition{dutyCondition(h.version)},
		Puts:       []beryllatch.DataRow{dutyRow(free)},
	})
	if err != nil {
		n.Log.Event("release_failed", n.Name, err.Error())
		return
	}
	free.version = version
	n.Log.Event("duty_released", n.Name, "heir "+heir)
}

// beat renews the holder's sign of life.
func (n *Node) beat(ctx context.Context, h holder) {
	failing := false
	for {
		err := n.renewBeat(ctx, h)
		switch {
		case err == nil:
			n.storeAnswered()
			failing = false
		case ctx.Err() == nil && !failing:
			failing = true
			n.Log.Event("beat_failed", n.Name, err.Error())
		}
		if !pause(ctx, beatInterval) {
			return
		}
	}
}

func (n *Node) renewBeat(ctx context.Context, h holder) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	_, err := n.rows().CommitDirectly(ctx, beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
		{Table: beatTable, Part: beatTable, Key: berylscheduler.OwnerKey, Value: []byte(h.Incarnation)},
	}})
	return err
}
