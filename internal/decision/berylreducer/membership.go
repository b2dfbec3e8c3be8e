package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// expiryWait is how long a row must stay unchanged before its writer's tenure is certain to have expired: the length of a
	// tenure, one second for the delay of the observer's reads and half a second for different clock rates.
	expiryWait = tenureLength + time.Second + 500*time.Millisecond
	// unlistedExpiryWait is used instead if the writer's list of known incarnations does not contain the observer. Such a
	// writer can extend its tenure without a grant of the observer, for up to maxOutage.
	unlistedExpiryWait = maxOutage + expiryWait
	// longestLease is the longest lease of an execution. The units of a node whose tenure has expired are reclaimed
	// only after it.
	longestLease = maxDeadline
	// cleanupStagger is the delay between the clean-up attempts of the nodes, so that usually the first one does it all.
	cleanupStagger = 2 * time.Second
	// demandTTL is the age from which a peer's reported demand is no longer used. With 36 nodes, a peer reports every 18 s.
	// At 15 s, nodes treated a busy peer as idle in the last 3 s of each round.
	demandTTL = 40 * time.Second
)

// member is what the node knows about another incarnation: that of a peer or a former one of its own.
type member struct {
	row NodeRow
	// changedAt is when this node first read the row in its present state, or first found it missing.
	changedAt time.Duration
	// absent is true if the row was missing at the last read.
	absent bool
	// knownIncarnations is the member's list of known incarnations. The read was sent at knownReadAt and answered at
	// knownReceivedAt.
	knownIncarnations            []string
	knownReadAt, knownReceivedAt time.Duration
	// knownRequestedAt is when the last read of the list was requested.
	knownRequestedAt time.Duration
	// inInstanceList is true if the platform's latest instance list contains the member. instanceRemoved is true if an
	// earlier list did and the latest one does not.
	inInstanceList  bool
	instanceRemoved bool
	// givenGrantUntil is the end of this node's last grant to the member, receivedGrantUntil that of the member's last grant
	// to this node.
	givenGrantUntil    time.Duration
	receivedGrantUntil time.Duration
	// expired is true if the member's tenure is certain to have expired. This node determined that at expiredAt.
	expired   bool
	expiredAt time.Duration
	// reportedVersion is the highest configuration version that the member has reported to use.
	reportedVersion uint64
	// demand holds the member's last report of the state of its teams.
	demand   map[string]Demand
	demandAt time.Duration
	// work is the member's last report of its work.
	work   []PoolWork
	workAt time.Duration
	// deleting is true while a DeleteNode effect for the row is in flight.
	deleting bool
}

// observeNodes compares the node rows that a renewal read with those of earlier reads, and determines which members' tenures
// have expired.
func (r *Reducer) observeNodes(e Renewed) {
	t := &r.tenure
	previous := t.knownIncarnations
	t.knownIncarnations = nil
	present := map[string]bool{}
	for _, n := range e.Nodes {
		t.knownIncarnations = append(t.knownIncarnations, n.Incarnation)
		present[n.Incarnation] = true
		if n.Incarnation != r.self.Incarnation {
			r.observeNode(n)
		}
	}
	slices.Sort(t.knownIncarnations)
	t.nodeRowsSteady = slices.Equal(previous, t.knownIncarnations)
	var overdue []string
	for _, id := range beryllatch.SortedKeys(r.members) {
		m := r.members[id]
		if !present[id] && !m.absent {
			m.absent, m.changedAt = true, r.now.Mono
		}
		r.checkExpiry(m, e.SentAt.Mono)
		if m.expired || e.SentAt.Mono-m.changedAt < 2*renewInterval {
			continue
		}
		t.nodeRowsSteady = t.nodeRowsSteady && m.absent
		if !m.knownIsCurrent() && r.now.Mono-m.knownRequestedAt >= renewInterval {
			m.knownRequestedAt = r.now.Mono
			overdue = append(overdue, id)
		}
	}
	if len(overdue) > 0 {
		r.emit(ReadKnownIncarnations{Incarnations: overdue})
	}
}

// knownIsCurrent reports whether the list of known incarnations was read after the row reached its present state.
func (m *member) knownIsCurrent() bool { return m.knownReadAt > 0 && m.knownReadAt >= m.changedAt }

func (r *Reducer) knownIncarnationsRead(e KnownIncarnationsRead) {
	for _, id := range beryllatch.SortedKeys(e.Known) {
		if m := r.members[id]; m != nil && e.SentAt.Mono > m.knownReadAt {
			m.knownIncarnations, m.knownReadAt, m.knownReceivedAt = e.Known[id], e.SentAt.Mono, r.now.Mono
		}
	}
}

// listsIncarnation reports whether the member's list of known incarnations contains the given one. A read started at readAt
// found the row unchanged. Row and list are written together, so a list that was received before readAt belongs to this
// state of the row. A list received later may belong to a later state, written by a node that has resumed its renewals.
func (m *member) listsIncarnation(incarnation string, readAt time.Duration) bool {
	return m.knownIsCurrent() && m.knownReceivedAt <= readAt && slices.Contains(m.knownIncarnations, incarnation)
}

// observeNode records the row of another incarnation. A changed row shows that its tenure was renewed.
func (r *Reducer) observeNode(n NodeRow) {
	m := r.members[n.Incarnation]
	if m == nil {
		m = &member{changedAt: r.now.Mono}
		r.members[n.Incarnation] = m
	}
	if m.row.Version != n.Version || m.row.Renewal != n.Renewal || m.absent {
		m.changedAt, m.absent = r.now.Mono, false
		m.expired = false
	}
	m.row = n
	m.reportedVersion = max(m.reportedVersion, n.ConfigVersion)
}

// checkExpiry marks the member as expired if its row has been unchanged for long enough. A read started at readAt found the
// row in the state that it has had since m.changedAt.
func (r *Reducer) checkExpiry(m *member, readAt time.Duration) {
	if m.expired {
		return
	}
	unchanged := readAt - m.changedAt
	expired := unchanged >= unlistedExpiryWait
	if unchanged >= expiryWait && (r.now.Mono >= m.givenGrantUntil || r.faults.ignoreGrants) {
		expired = expired || m.instanceRemoved || m.listsIncarnation(r.self.Incarnation, readAt)
	}
	if r.faults.ignoreExpiryWait {
		expired = unchanged > 0
	}
	if expired {
		m.expired, m.expiredAt = true, r.now.Mono
		r.emit(LogState{Subject: "peer " + m.row.Incarnation, From: string(m.row.State), To: "lapsed"})
	}
}

// hasExpired reports whether the incarnation's tenure is certain to have expired. A transaction that takes something over from
// it must also check that its row is unchanged, see NodeCheck.
func (r *Reducer) hasExpired(incarnation string) bool {
	m := r.members[incarnation]
	return m != nil && m.expired
}

// notRenewedCheck returns the condition that the incarnation has not renewed its tenure since this node found it expired.
func (r *Reducer) notRenewedCheck(incarnation string) NodeCheck {
	m := r.members[incarnation]
	if m == nil || m.absent {
		return NodeCheck{Incarnation: incarnation}
	}
	return NodeCheck{Incarnation: incarnation, Version: m.row.Version}
}

// reclaimable reports whether the incarnation's units can be reclaimed, since the leases of all its executions have expired.
func (r *Reducer) reclaimable(incarnation string) bool {
	if !r.hasExpired(incarnation) {
		return false
	}
	return r.now.Mono-r.members[incarnation].expiredAt >= longestLease || r.faults.ignoreExpiryWait
}

// trackIncarnation adds a member for an incarnation that holds units or requests a grant, but was in no read of the node
// rows. The wait until its tenure is certain to have expired starts now.
func (r *Reducer) trackIncarnation(incarnation string) {
	if incarnation != r.self.Incarnation && r.members[incarnation] == nil {
		row := NodeRow{Identity: Identity{Incarnation: incarnation}}
		r.members[incarnation] = &member{row: row, absent: true, changedAt: r.now.Mono}
	}
}

// registeredMembers returns the members whose rows were present at the last read, sorted by incarnation.
func (r *Reducer) registeredMembers() []*member {
	out := make([]*member, 0, len(r.members))
	for _, id := range beryllatch.SortedKeys(r.members) {
		if m := r.members[id]; !m.absent {
			out = append(out, m)
		}
	}
	return out
}

// observeInstanceList marks the members that are no longer in the platform's instance list. A list without this node, which
// was in an earlier one, is ignored as incomplete.
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

// tickMembership reclaims the units of expired incarnations and then deletes their node rows. The nodes try one after another,
// in order of rank.
func (r *Reducer) tickMembership() {
	if !r.mayTransfer() || r.stopping {
		return
	}
	wait := time.Duration(r.rank()) * cleanupStagger
	for _, id := range beryllatch.SortedKeys(r.members) {
		m := r.members[id]
		if !r.reclaimable(id) || r.now.Mono-m.expiredAt < longestLease+wait {
			continue
		}
		switch {
		case r.sweepUnits(id):
		case m.absent:
			delete(r.members, id)
		case !m.deleting && r.nothingToReclaim(id):
			m.deleting = true
			r.emit(DeleteNode{Node: r.notRenewedCheck(id)})
		}
	}
}

// rank is the node's position, from 0, among the registered incarnations whose tenures have not expired.
func (r *Reducer) rank() int {
	n := 0
	for id, m := range r.members {
		if !m.expired && !m.absent && id < r.self.Incarnation {
			n++
		}
	}
	return n
}

// nothingToReclaim reports whether the incarnation holds no units in the unit rows as last read.
func (r *Reducer) nothingToReclaim(incarnation string) bool {
	for _, u := range r.units {
		if u.row.Holdings[incarnation] > 0 {
			return false
		}
	}
	return true
}

// without returns a copy of the list without the name. The list itself must not change, since it may be part of an effect
// that is still being carried out.
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
