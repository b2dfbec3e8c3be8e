package berylreducer

import (
	"time"
)

const (
	// renewInterval leaves three tries within one tenure.
	renewInterval = time.Second
	// nodesInterval spaces the reads of the node rows: read every second, the rows of 36 nodes would take twice a node's
	// control budget of 16 KB/s. After a change, or when a row stands still, every renewal reads them.
	nodesInterval = 3 * time.Second
	// renewTimeout is the age at which an unanswered renewal counts as failed; a later answer still extends the tenure.
	renewTimeout = time.Second
	// tenureLength bounds how long a node starts work on a configuration that may be out of date.
	tenureLength = 4 * time.Second
	// startByLimit bounds how long after its check a paused node's send can still start work.
	startByLimit = time.Second
	// configReadInterval spaces the reads of the configuration document while one is outstanding.
	configReadInterval = 200 * time.Millisecond
	// maxClockJump is the largest difference between wall and monotonic time over a tick; a suspended machine shows a
	// larger one, since its monotonic clock stands still.
	maxClockJump = 500 * time.Millisecond
)

// tenureState is the node's proof that its configuration is fresh.
type tenureState struct {
	// until ends the right to start work; grants may carry it past renewedUntil.
	until time.Duration
	// renewedUntil ends the tenure that rests on a renewal of the node's own.
	renewedUntil time.Duration
	// renewedAt is the sending time of the last completed renewal.
	renewedAt time.Duration
	// notBefore is the earliest sending time of a renewal or grant that counts; a clock jump moves it.
	notBefore time.Duration
	// lapsed is true from the end of a tenure until the next renewal.
	lapsed bool
	// generation counts the lapses; answers of the table to calls from an earlier generation are not used.
	generation uint64
	// replaced is true from the loss of the node's row until the shell provides a new incarnation.
	replaced bool
	// deleting is true once the node deletes its own row.
	deleting bool
	// failing is true while the latest renewal has failed or has timed out.
	failing bool
	// inOutage is the mode as last logged.
	inOutage bool
	// grantsAsked is when the peers were last asked for grants.
	grantsAsked time.Duration
	renewal     uint64
	lastSent    time.Duration
	inFlight    bool
	// nodesAt is the sending time of the last renewal that read the node rows.
	nodesAt time.Duration
	// steady is false after a read that shows a new set of rows, or a row that has not been renewed in time.
	steady bool
	// known holds the incarnations registered at the last read of the node rows, sorted.
	known []string
	// headKnown is the highest configuration version that the node has heard of.
	headKnown  uint64
	configRead time.Duration
	// nodesHead is the head version that was read before the present node rows.
	nodesHead uint64
	// pending is a renewal that waits for the adoption of the configuration version it read.
	pending Renewed
	// clock is the instant of the last tick.
	clock Instant
}

// mayStart reports whether the node may start work now.
func (r *Reducer) mayStart() bool { return !r.tenure.replaced && r.now.Mono < r.tenure.until }

// mayClaim reports whether keyed requests and new tasks may be written to the platform; not so in outage mode.
func (r *Reducer) mayClaim() bool {
	return r.mayStart() && r.now.Mono < r.tenure.renewedUntil
}

// mayTransfer reports whether units and ownership may change hands and configuration changes may be committed through
// this node; not so in outage mode.
func (r *Reducer) mayTransfer() bool { return r.mayClaim() }

// outage reports whether the node goes on past its own tenure by grants of its peers.
func (r *Reducer) outage() bool { return r.mayStart() && !r.mayClaim() }

// observeClock ends the tenure when it has run out or when the clocks show that the process stood still.
func (r *Reducer) observeClock() {
	t := &r.tenure
	if r.members == nil {
		return
	}
	if jump := clockJump(t.clock, r.now); jump > maxClockJump || jump < -maxClockJump {
		t.clock = r.now
		t.notBefore = r.now.Mono + 1
		t.until = min(t.until, r.now.Mono)
		t.renewedUntil = min(t.renewedUntil, r.now.Mono)
		r.count("clock_jump")
	}
	if !t.lapsed && t.renewedAt > 0 && r.now.Mono >= t.until {
		r.lapse()
	}
}

func clockJump(from, to Instant) time.Duration {
	// Round(0) strips the monotonic reading, which would hide the jump.
	return to.Wall.Round(0).Sub(from.Wall.Round(0)) - (to.Mono - from.Mono)
}

// lapse records the end of the tenure; the units count for nothing until they have been read back.
func (r *Reducer) lapse() {
	r.tenure.lapsed = true
	r.tenure.generation++
	r.emit(LogState{Subject: "tenure", From: "valid", To: "lapsed"})
}

func (r *Reducer) renew() {
	t := &r.tenure
	if t.replaced || t.deleting {
		return
	}
	t.renewal++
	t.inFlight = true
	t.lastSent = r.now.Mono
	r.emit(RenewTenure{
		Row: NodeRow{
			Identity: r.self, Renewal: t.renewal, ConfigVersion: r.config.Version, State: r.publishedState(), Known: t.known,
		},
		SkipNodes: r.skipNodes(),
	})
}

// skipNodes reports whether the next renewal can do without the node rows.
func (r *Reducer) skipNodes() bool {
	t := &r.tenure
	return t.steady && !t.failing && len(r.watches) == 0 && r.now.Mono-t.nodesAt < nodesInterval
}

func (r *Reducer) publishedState() NodeState {
	if r.stopping {
		return NodeLeaving
	}
	return NodeLive
}

func (r *Reducer) tickTenure() {
	t := &r.tenure
	t.clock = r.now
	if t.inFlight && r.now.Mono-t.lastSent >= renewTimeout {
		r.renewalEnded("renewal_timeout")
	}
	if !t.inFlight && r.now.Mono-t.lastSent >= renewInterval {
		r.renew()
		r.heartbeat()
	}
	if r.config.Version < t.headKnown {
		r.readConfig()
	}
	r.logOutage()
}

func (r *Reducer) logOutage() {
	t := &r.tenure
	switch outage := r.outage(); {
	case outage == t.inOutage:
	case outage:
		t.inOutage = true
		r.emit(LogState{Subject: "platform", From: "reachable", To: "outage"})
	default:
		t.inOutage = false
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
	if t.replaced || t.deleting || e.SentAt.Mono < t.pending.SentAt.Mono {
		return
	}
	if e.SentAt.Mono >= t.lastSent {
		t.inFlight = false
		t.failing = false
	}
	t.headKnown = max(t.headKnown, e.HeadVersion)
	t.pending = e
	if !e.NodesSkipped {
		t.nodesAt = max(e.SentAt.Mono, 1)
		t.nodesHead = e.HeadVersion
		r.observeNodes(e)
	}
	if r.config.Version < e.HeadVersion {
		r.readConfig()
	}
	r.extendTenure()
	r.checkInForce()
}

// readConfig asks for the document unless a read was started within the last tick.
func (r *Reducer) readConfig() {
	t := &r.tenure
	if t.configRead > 0 && r.now.Mono-t.configRead < configReadInterval {
		return
	}
	t.configRead = r.now.Mono
	r.emit(ReadConfig{})
}

// extendTenure counts the pending renewal once the configuration is at least as new as the head that it read.
func (r *Reducer) extendTenure() {
	t := &r.tenure
	sent := t.pending.SentAt.Mono
	if t.pending.HeadVersion == 0 || t.replaced || sent < t.notBefore {
		return
	}
	if r.config.Version < t.pending.HeadVersion && !r.faults.ignoreHead {
		return
	}
	t.renewedAt = max(t.renewedAt, sent, 1)
	t.renewedUntil = max(t.renewedUntil, sent+tenureLength)
	t.until = max(t.until, t.renewedUntil)
	if t.lapsed && r.now.Mono < t.until {
		t.lapsed = false
		r.emit(LogState{Subject: "tenure", From: "lapsed", To: "valid"})
	}
}

func (r *Reducer) renewalFailed(e RenewalFailed) {
	t := &r.tenure
	if t.replaced || t.deleting {
		return
	}
	if e.Replaced {
		r.loseRow()
		return
	}
	if t.inFlight && e.SentAt.Mono >= t.lastSent {
		r.renewalEnded("renewal_failed")
	}
}

// renewalEnded handles a renewal without an answer; the peers are asked for grants at once.
func (r *Reducer) renewalEnded(counter string) {
	t := &r.tenure
	t.inFlight = false
	r.count(counter)
	if !t.failing {
		t.failing = true
		r.askGrants()
	}
}

// loseRow stops all starts until the shell provides a new incarnation.
func (r *Reducer) loseRow() {
	t := &r.tenure
	t.replaced = true
	t.inFlight = false
	t.until = min(t.until, r.now.Mono)
	t.renewedUntil = min(t.renewedUntil, r.now.Mono)
	if !t.lapsed {
		r.lapse()
	}
	r.emit(LogState{Subject: "node", From: r.self.Incarnation, To: "replaced"}, Reincarnate{})
}

// reincarnated continues under a new incarnation, which holds no units and has no tenure yet.
func (r *Reducer) reincarnated(e Reincarnated) {
	t := &r.tenure
	if !t.replaced {
		return
	}
	r.members[r.self.Incarnation] = &member{row: NodeRow{Identity: r.self}, absent: true, lapsed: true, lapsedAt: r.now.Mono}
	r.self = e.Self
	t.replaced = false
	t.renewal = 0
	t.notBefore = r.now.Mono
	t.known = nil
	r.forgetUnits()
	r.emit(LogState{Subject: "node", From: "replaced", To: r.self.Incarnation})
	r.renew()
}
