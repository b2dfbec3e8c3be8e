package berylreducer

import (
	"time"
)

const (
	// renewInterval allows three attempts to renew within one tenure.
	renewInterval = time.Second
	// nodesInterval is the least time between two reads of the node rows. Read every second, the rows of 36 nodes would
	// take twice a node's control traffic budget of 16 KB/s. After a change in the set of rows, or while a row is overdue
	// for renewal, every renewal reads them.
	nodesInterval = 3 * time.Second
	// renewTimeout is the age at which an unanswered renewal counts as failed; a later answer still extends the tenure.
	renewTimeout = time.Second
	// tenureLength bounds how long a node may keep starting work under a configuration that may be out of date.
	tenureLength = 4 * time.Second
	// startByLimit bounds the time between the node's check that it may start work and the start of that work at the
	// worker, even if the node's process is paused in between.
	startByLimit = time.Second
	// configReadInterval is the least time between two reads of the configuration document.
	configReadInterval = 200 * time.Millisecond
	// maxClockJump is the largest tolerated difference between the advance of the wall clock and that of the monotonic
	// clock over a tick. It is exceeded after a suspension of the machine, during which the monotonic clock is stopped.
	maxClockJump = 500 * time.Millisecond
)

// tenureState holds the state of the node's tenure: the period in which the node may start work, because it has recently
// proved to have the latest configuration.
type tenureState struct {
	// validUntil is the end of the tenure. Grants of the peers may extend it past renewedUntil.
	validUntil time.Duration
	// renewedUntil is the end of the tenure without regard to grants: tenureLength after the last completed renewal.
	renewedUntil time.Duration
	// renewedAt is the sending time of the last completed renewal.
	renewedAt time.Duration
	// notBefore is the earliest sending time of a renewal or grant request that may extend the tenure; a clock jump and a
	// new incarnation set it to the present.
	notBefore time.Duration
	// expired is true from the end of a tenure until the next completed renewal.
	expired bool
	// generation counts the tenures that have expired; results of table calls that were started in an earlier generation
	// are not used.
	generation uint64
	// replaced is true from when the node's row is found missing or rewritten until the daemon provides a new incarnation.
	replaced bool
	// deleting is true once a stopping node has begun to delete its own row.
	deleting bool
	// renewalFailing is true while the latest renewal has failed or has timed out.
	renewalFailing bool
	// loggedOutage is true if the last state logged was the outage mode.
	loggedOutage bool
	// grantsRequestedAt is when the peers were last asked for grants.
	grantsRequestedAt time.Duration
	renewal           uint64
	renewalSentAt     time.Duration
	renewalInFlight   bool
	// nodesReadAt is the sending time of the last renewal that read the node rows.
	nodesReadAt time.Duration
	// nodeRowsSteady is false after a read that found a changed set of node rows, or a row that was not renewed in time.
	nodeRowsSteady bool
	// knownIncarnations holds, sorted, the incarnations registered at the last read of the node rows.
	knownIncarnations []string
	// highestVersion is the highest configuration version that the node has read or a peer has reported.
	highestVersion uint64
	configReadAt   time.Duration
	// nodesHeadVersion is the head version that was read together with, and before, the latest node rows.
	nodesHeadVersion uint64
	// pendingRenewal is the latest successful renewal. It extends the tenure once the node has adopted the configuration
	// version that it read.
	pendingRenewal Renewed
	// lastInstant is the time of the last tick or clock jump, for the detection of clock jumps.
	lastInstant Instant
}

// mayStart reports whether the node has a valid tenure, by a renewal or by grants, and may start work.
func (r *Reducer) mayStart() bool { return !r.tenure.replaced && r.now.Mono < r.tenure.validUntil }

// mayClaim reports whether claims of idempotency keys and new tasks may be written to the platform. It is false in outage
// mode.
func (r *Reducer) mayClaim() bool {
	return r.mayStart() && r.now.Mono < r.tenure.renewedUntil
}

// mayTransfer reports whether this node may transfer units and the ownership of shards, and commit configuration changes.
// It is false in outage mode.
func (r *Reducer) mayTransfer() bool { return r.mayClaim() }

// outage reports whether the node is in outage mode: its tenure is valid only because of the grants of its peers.
func (r *Reducer) outage() bool { return r.mayStart() && !r.mayClaim() }

// checkClock ends the tenure if the clocks show that the machine was suspended, and records the end of an expired tenure.
func (r *Reducer) checkClock() {
	t := &r.tenure
	if r.members == nil {
		return
	}
	if jump := clockJump(t.lastInstant, r.now); jump > maxClockJump || jump < -maxClockJump {
		t.lastInstant = r.now
		t.notBefore = r.now.Mono + 1
		t.validUntil = min(t.validUntil, r.now.Mono)
		t.renewedUntil = min(t.renewedUntil, r.now.Mono)
		r.count("clock_jump")
	}
	if !t.expired && t.renewedAt > 0 && r.now.Mono >= t.validUntil {
		r.expireTenure()
	}
}

func clockJump(from, to Instant) time.Duration {
	// Round(0) strips the monotonic reading, which would hide the jump.
	return to.Wall.Round(0).Sub(from.Wall.Round(0)) - (to.Mono - from.Mono)
}

// expireTenure records the end of the tenure. The node cannot use its units until it has read their rows again.
func (r *Reducer) expireTenure() {
	r.tenure.expired = true
	r.tenure.generation++
	r.emit(LogState{Subject: "tenure", From: "valid", To: "lapsed"})
}

func (r *Reducer) renew() {
	t := &r.tenure
	if t.replaced || t.deleting {
		return
	}
	t.renewal++
	t.renewalInFlight = true
	t.renewalSentAt = r.now.Mono
	r.emit(RenewTenure{
		Row: NodeRow{
			Identity: r.self, Renewal: t.renewal, ConfigVersion: r.config.Version, State: r.publishedState(), Known: t.knownIncarnations,
		},
		SkipNodes: r.skipNodes(),
	})
}

// skipNodes reports whether the next renewal can omit the read of the node rows.
func (r *Reducer) skipNodes() bool {
	t := &r.tenure
	return t.nodeRowsSteady && !t.renewalFailing && len(r.configWatches) == 0 && r.now.Mono-t.nodesReadAt < nodesInterval
}

func (r *Reducer) publishedState() NodeState {
	if r.stopping {
		return NodeLeaving
	}
	return NodeLive
}

func (r *Reducer) tickTenure() {
	t := &r.tenure
	t.lastInstant = r.now
	if t.renewalInFlight && r.now.Mono-t.renewalSentAt >= renewTimeout {
		r.renewalUnanswered("renewal_timeout")
	}
	if !t.renewalInFlight && r.now.Mono-t.renewalSentAt >= renewInterval {
		r.renew()
		r.heartbeat()
	}
	if r.config.Version < t.highestVersion {
		r.readConfig()
	}
	r.logOutage()
}

func (r *Reducer) logOutage() {
	t := &r.tenure
	switch outage := r.outage(); {
	case outage == t.loggedOutage:
	case outage:
		t.loggedOutage = true
		r.emit(LogState{Subject: "platform", From: "reachable", To: "outage"})
	default:
		t.loggedOutage = false
		r.emit(LogState{Subject: "platform", From: "outage", To: r.platformState()})
	}
}

func (r *Reducer) platformState() string {
	if r.mayStart() {
		return "reachable"
	}
	return "unreachable"
}

func (r *Reducer) renewed(e Renewed) {
	t := &r.tenure
	if t.replaced || t.deleting || e.SentAt.Mono < t.pendingRenewal.SentAt.Mono {
		return
	}
	if e.SentAt.Mono >= t.renewalSentAt {
		t.renewalInFlight = false
		t.renewalFailing = false
	}
	t.highestVersion = max(t.highestVersion, e.HeadVersion)
	t.pendingRenewal = e
	if !e.NodesSkipped {
		t.nodesReadAt = max(e.SentAt.Mono, 1)
		t.nodesHeadVersion = e.HeadVersion
		r.observeNodes(e)
	}
	if r.config.Version < e.HeadVersion {
		r.readConfig()
	}
	r.extendTenure()
	r.checkInForce()
}

// readConfig reads the configuration document, unless a read was started less than configReadInterval ago.
func (r *Reducer) readConfig() {
	t := &r.tenure
	if t.configReadAt > 0 && r.now.Mono-t.configReadAt < configReadInterval {
		return
	}
	t.configReadAt = r.now.Mono
	r.emit(ReadConfig{})
}

// extendTenure extends the tenure by the pending renewal once the node's configuration is at least as new as the head
// version that the renewal read.
func (r *Reducer) extendTenure() {
	t := &r.tenure
	sent := t.pendingRenewal.SentAt.Mono
	if t.pendingRenewal.HeadVersion == 0 || t.replaced || sent < t.notBefore {
		return
	}
	if r.config.Version < t.pendingRenewal.HeadVersion && !r.faults.ignoreHead {
		return
	}
	t.renewedAt = max(t.renewedAt, sent, 1)
	t.renewedUntil = max(t.renewedUntil, sent+tenureLength)
	t.validUntil = max(t.validUntil, t.renewedUntil)
	if t.expired && r.now.Mono < t.validUntil {
		t.expired = false
		r.emit(LogState{Subject: "tenure", From: "lapsed", To: "valid"})
	}
}

func (r *Reducer) renewalFailed(e RenewalFailed) {
	t := &r.tenure
	if t.replaced || t.deleting {
		return
	}
	if e.Replaced {
		r.rowReplaced()
		return
	}
	if t.renewalInFlight && e.SentAt.Mono >= t.renewalSentAt {
		r.renewalUnanswered("renewal_failed")
	}
}

// renewalUnanswered handles a renewal that failed or timed out. At the first one in a row the node asks its peers for
// grants.
func (r *Reducer) renewalUnanswered(counter string) {
	t := &r.tenure
	t.renewalInFlight = false
	r.count(counter)
	if !t.renewalFailing {
		t.renewalFailing = true
		r.requestGrants()
	}
}

// rowReplaced ends the tenure until the daemon provides a new incarnation, since the node's row is no longer its own.
func (r *Reducer) rowReplaced() {
	t := &r.tenure
	t.replaced = true
	t.renewalInFlight = false
	t.validUntil = min(t.validUntil, r.now.Mono)
	t.renewedUntil = min(t.renewedUntil, r.now.Mono)
	if !t.expired {
		r.expireTenure()
	}
	r.emit(LogState{Subject: "node", From: r.self.Incarnation, To: "replaced"}, Reincarnate{})
}

// reincarnated continues under a new incarnation, which has neither units nor a tenure yet. The former incarnation
// remains as an expired member, so that its units and shards can be taken over.
func (r *Reducer) reincarnated(e Reincarnated) {
	t := &r.tenure
	if !t.replaced {
		return
	}
	r.members[r.self.Incarnation] = &member{row: NodeRow{Identity: r.self}, absent: true, expired: true, expiredAt: r.now.Mono}
	r.self = e.Self
	t.replaced = false
	t.renewal = 0
	t.notBefore = r.now.Mono
	t.knownIncarnations = nil
	r.forgetUnits()
	r.emit(LogState{Subject: "node", From: "replaced", To: r.self.Incarnation})
	r.renew()
}
