package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// lateInForceDelay is how long after a commit the node reports that the version is not yet in force on all nodes.
	lateInForceDelay = 8 * time.Second
	// notifyInterval is the least time between two NotifyConfig effects to the nodes that have not acknowledged.
	notifyInterval = time.Second
	// maxWatches bounds the committed versions that the node follows at a time; beyond it the oldest is dropped.
	maxWatches = 64
)

// configWatch follows a committed version until it is in force on all nodes.
type configWatch struct {
	version      uint64
	committedAt  time.Duration
	notifiedAt   time.Duration
	reportedLate bool
}

func (r *Reducer) configNotified(e ConfigNotified) {
	r.tenure.highestVersion = max(r.tenure.highestVersion, e.Version)
	if r.config.Version < e.Version {
		r.readConfig()
	}
}

// watchConfig begins to follow a version that this node has just committed, and notifies the peers.
func (r *Reducer) watchConfig(version uint64) {
	r.configNotified(ConfigNotified{Version: version})
	if len(r.configWatches) == maxWatches {
		r.configWatches = r.configWatches[1:]
	}
	r.configWatches = append(r.configWatches, configWatch{version: version, committedAt: r.now.Mono, notifiedAt: r.now.Mono})
	if peers := r.unacknowledged(version); len(peers) > 0 {
		r.emit(NotifyConfig{Peers: peers, Version: version})
	}
	if !r.tenure.renewalInFlight {
		// Only node rows read after the commit show that the version is in force, and an operator waits for that.
		r.renew()
	}
}

// unacknowledged returns the registered nodes that have not acknowledged the version and may still hold a valid tenure.
func (r *Reducer) unacknowledged(version uint64) []Identity {
	var out []Identity
	for _, m := range r.registeredMembers() {
		if m.reportedVersion < version && !m.expired {
			out = append(out, m.row.Identity)
		}
	}
	return out
}

// checkInForce reports each followed version once when it is late, and when it has come into force on all nodes.
func (r *Reducer) checkInForce() {
	var pending []configWatch
	for _, w := range r.configWatches {
		if !r.checkWatch(&w) {
			pending = append(pending, w)
		}
	}
	r.configWatches = pending
}

// checkWatch reports whether the version is in force on all nodes. The node rows count only if they were read after a head
// of at least that version, since a node that registered up to the commit may be missing from an earlier read.
func (r *Reducer) checkWatch(w *configWatch) bool {
	waiting := r.unacknowledged(w.version)
	rowsCurrent := r.tenure.nodesHeadVersion >= w.version
	if rowsCurrent && len(waiting) == 0 && r.config.Version >= w.version {
		r.emit(ConfigInForce{Version: w.version, InForce: true})
		r.emit(LogState{Subject: "config " + strconv.FormatUint(w.version, 10), From: "committed", To: "in_force"})
		return true
	}
	if !w.reportedLate && r.now.Mono-w.committedAt >= lateInForceDelay {
		w.reportedLate = true
		r.emit(ConfigInForce{Version: w.version, WaitingFor: r.waitingNames(waiting, w.version)})
	}
	if len(waiting) > 0 && r.now.Mono-w.notifiedAt >= notifyInterval {
		w.notifiedAt = r.now.Mono
		r.emit(NotifyConfig{Peers: waiting, Version: w.version})
	}
	return false
}

func (r *Reducer) waitingNames(peers []Identity, version uint64) []string {
	names := map[string]bool{}
	for _, p := range peers {
		names[p.Node] = true
	}
	if r.config.Version < version {
		names[r.self.Node] = true
	}
	return beryllatch.SortedKeys(names)
}
