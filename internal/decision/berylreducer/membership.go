package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// lapseWait is how long a row stays unchanged before its writer's tenure has surely lapsed: the tenure, one second
	// for the delay of the observer's reads and half a second for the difference of clock rates.
	lapseWait = tenureLength + time.Second + 500*time.Millisecond
	// unlistedLapseWait applies to a row that does not list the observer: its writer does not need the observer's grant.
	unlistedLapseWait = maxOutage + lapseWait
	// longestLease is the longest lease of an execution; its units return only after it.
	longestLease = maxDeadline
	// cleanupStagger spaces the clean-up attempts of the nodes, so that usually one of them does it.
	cleanupStagger = 2 * time.Second
	// demandTTL is the age at which a peer's reported demand is no longer used. 36 nodes hear each other every 18 s; with
	// 15 s they took a busy peer for an idle one in the last 3 s of each round.
	demandTTL = 40 * time.Second
)

// member is what the node knows about another node's incarnation.
type member struct {
	row NodeRow
	// changedAt is when this node first saw the present row, or first saw it missing.
	changedAt time.Duration
	absent    bool
	// known is the member's list of known incarnations by a read sent at knownFrom and answered at knownBy.
	known                        []string
	knownReadAt, knownReceivedAt time.Duration
	// knownRequestedAt is when the list was last asked for.
	knownRequestedAt time.Duration
	// inInstanceList and gone follow the platform's instance list.
	inInstanceList  bool
	instanceRemoved bool
	// givenGrantUntil ends this node's last grant to the member; grantUntil ends the member's last grant to this node.
	givenGrantUntil    time.Duration
	receivedGrantUntil time.Duration
	// lapsed is true once the tenure is known to have lapsed, since lapsedAt.
	lapsed   bool
	lapsedAt time.Duration
	// reportedVersion is the highest configuration version that the member has reported.
	reportedVersion uint64
	demand          map[string]Demand
	demandAt        time.Duration
	// work is the member's last report of its work.
	work   []PoolWork
	workAt time.Duration
	// deleting is true while a DeleteNode effect is outstanding.
	deleting bool
}

// observeNodes compares the rows of a renewal's read with those of earlier reads.
func (r *Reducer) observeNodes(e Renewed) {
	t := &r.tenure
	before := t.knownIncarnations
	t.knownIncarnations = nil
	seen := map[string]bool{}
	for _, n := range e.Nodes {
		t.knownIncarnations = append(t.knownIncarnations, n.Incarnation)
		seen[n.Incarnation] = true
		if n.Incarnation != r.self.Incarnation {
			r.observeNode(n)
		}
	}
	slices.Sort(t.knownIncarnations)
	t.nodeRowsSteady = slices.Equal(before, t.knownIncarnations)
	var still []string
	for _, id := range beryllatch.SortedKeys(r.members) {
		m := r.members[id]
		if !seen[id] && !m.absent {
			m.absent, m.changedAt = true, r.now.Mono
		}
		r.checkLapse(m, e.SentAt.Mono)
		if m.lapsed || e.SentAt.Mono-m.changedAt < 2*renewInterval {
			continue
		}
		t.nodeRowsSteady = t.nodeRowsSteady && m.absent
		if !m.knownIsCurrent() && r.now.Mono-m.knownRequestedAt >= renewInterval {
			m.knownRequestedAt = r.now.Mono
			still = append(still, id)
		}
	}
	if len(still) > 0 {
		r.emit(ReadKnown{Incarnations: still})
	}
}

// knownIsCurrent reports whether the list was read after the present row was first seen.
func (m *member) knownIsCurrent() bool { return m.knownReadAt > 0 && m.knownReadAt >= m.changedAt }

func (r *Reducer) knownRead(e KnownRead) {
	for _, id := range beryllatch.SortedKeys(e.Known) {
		if m := r.members[id]; m != nil && e.SentAt.Mono > m.knownReadAt {
			m.known, m.knownReadAt, m.knownReceivedAt = e.Known[id], e.SentAt.Mono, r.now.Mono
		}
	}
}

// listsIncarnation reports whether the row, which a read started at readAt has found unchanged, lists the incarnation. Row and list
// are written together, so that a list which was read while the row stood still is the list of that row; one that was
// answered later than readAt may belong to a later row, written by a node that has come back.
func (m *member) listsIncarnation(incarnation string, readAt time.Duration) bool {
	return m.knownIsCurrent() && m.knownReceivedAt <= readAt && slices.Contains(m.known, incarnation)
}

func (r *Reducer) observeNode(n NodeRow) {
	m := r.members[n.Incarnation]
	if m == nil {
		m = &member{changedAt: r.now.Mono}
		r.members[n.Incarnation] = m
	}
	if m.row.Version != n.Version || m.row.Renewal != n.Renewal || m.absent {
		m.changedAt, m.absent = r.now.Mono, false
		m.lapsed = false
	}
	m.row = n
	m.reportedVersion = max(m.reportedVersion, n.ConfigVersion)
}

// checkLapse applies a read that was started at readAt and shows the row as it has been since m.changedAt.
func (r *Reducer) checkLapse(m *member, readAt time.Duration) {
	if m.lapsed {
		return
	}
	unchanged := readAt - m.changedAt
	lapsed := unchanged >= unlistedLapseWait
	if unchanged >= lapseWait && (r.now.Mono >= m.givenGrantUntil || r.faults.ignoreGrants) {
		lapsed = lapsed || m.instanceRemoved || m.listsIncarnation(r.self.Incarnation, readAt)
	}
	if r.faults.ignoreLapseWait {
		lapsed = unchanged > 0
	}
	if lapsed {
		m.lapsed, m.lapsedAt = true, r.now.Mono
		r.emit(LogState{Subject: "peer " + m.row.Incarnation, From: string(m.row.State), To: "lapsed"})
	}
}

// hasLapsed reports whether the incarnation's tenure has surely lapsed; whoever takes something over must also check
// in the same transaction that the incarnation's row is unchanged, see NodeCheck.
func (r *Reducer) hasLapsed(incarnation string) bool {
	m := r.members[incarnation]
	return m != nil && m.lapsed
}

// lapsedCheck returns the condition under which the incarnation has not come back.
func (r *Reducer) lapsedCheck(incarnation string) NodeCheck {
	m := r.members[incarnation]
	if m == nil || m.absent {
		return NodeCheck{Incarnation: incarnation}
	}
	return NodeCheck{Incarnation: incarnation, Version: m.row.Version}
}

// reclaimable reports whether no execution under the incarnation's units can still run.
func (r *Reducer) reclaimable(incarnation string) bool {
	if !r.hasLapsed(incarnation) {
		return false
	}
	return r.now.Mono-r.members[incarnation].lapsedAt >= longestLease || r.faults.ignoreLapseWait
}

// trackIncarnation starts the waits for an incarnation that holds units or asks for a grant, but has never been seen among the
// node rows.
func (r *Reducer) trackIncarnation(incarnation string) {
	if incarnation != r.self.Incarnation && r.members[incarnation] == nil {
		row := NodeRow{Identity: Identity{Incarnation: incarnation}}
		r.members[incarnation] = &member{row: row, absent: true, changedAt: r.now.Mono}
	}
}

// registered returns the members whose rows existed at the last read, sorted by incarnation.
func (r *Reducer) registered() []*member {
	out := make([]*member, 0, len(r.members))
	for _, id := range beryllatch.SortedKeys(r.members) {
		if m := r.members[id]; !m.absent {
			out = append(out, m)
		}
	}
	return out
}

// observeInstanceList marks the members that the platform's instance list no longer names; a list that lacks this node after
// having named it is not trusted.
func (r *Reducer) observeInstanceList(e InstancesListed) {
	_, self := e.Instances[r.self.PeerAddress]
	if r.inInstanceList && !self {
		r.count("instance_list_ignored")
		return
	}
	r.inInstanceList = self
	for _, m := range r.members {
		_, listed := e.Instances[m.row.PeerAddress]
		m.instanceRemoved = m.inInstanceList && !listed || m.instanceRemoved && !listed
		m.inInstanceList = listed
	}
}

// tickMembership cleans up after lapsed incarnations; the nodes try one after another.
func (r *Reducer) tickMembership() {
	if !r.mayTransfer() || r.stopping {
		return
	}
	wait := time.Duration(r.rank()) * cleanupStagger
	for _, id := range beryllatch.SortedKeys(r.members) {
		m := r.members[id]
		if !r.reclaimable(id) || r.now.Mono-m.lapsedAt < longestLease+wait {
			continue
		}
		switch {
		case r.sweepUnits(id):
		case m.absent:
			delete(r.members, id)
		case !m.deleting && r.nothingToReclaim(id):
			m.deleting = true
			r.emit(DeleteNode{Node: r.lapsedCheck(id)})
		}
	}
}

// rank is the node's place among the incarnations that have not lapsed.
func (r *Reducer) rank() int {
	n := 0
	for id, m := range r.members {
		if !m.lapsed && !m.absent && id < r.self.Incarnation {
			n++
		}
	}
	return n
}

// nothingToReclaim reports whether no unit row, as last read, and no shard names the incarnation.
func (r *Reducer) nothingToReclaim(incarnation string) bool {
	for _, u := range r.units {
		if u.row.Holdings[incarnation] > 0 {
			return false
		}
	}
	return true
}

// without returns a copy of the list without the name; the list may be part of an effect that is still being carried out.
func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

func (r *Reducer) nodeDeleted(e NodeDeleted) {
	if e.Incarnation == r.self.Incarnation {
		if r.tenure.deleting {
			r.emit(Stop{})
		}
		return
	}
	if m := r.members[e.Incarnation]; m != nil {
		m.deleting = false
		if e.Result == WriteDone {
			m.absent, m.changedAt = true, r.now.Mono
			r.tenure.knownIncarnations = without(r.tenure.knownIncarnations, e.Incarnation)
			r.emit(LogState{Subject: "peer " + e.Incarnation, From: "lapsed", To: "removed"})
		}
	}
}
