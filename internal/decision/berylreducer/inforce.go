package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// inForceReport is the time after a commit at which the node reports the version as not yet in force everywhere.
	inForceReport = 8 * time.Second
	// notifyInterval spaces the repeats of NotifyConfig to the nodes that have not acknowledged.
	notifyInterval = time.Second
	// maxWatches bounds the committed versions that the node follows at a time.
	maxWatches = 64
)

// configWatch follows one committed version until it is in force everywhere.
type configWatch struct {
	version  uint64
	since    time.Duration
	notified time.Duration
	reported bool
}

func (r *Reducer) configNotified(e ConfigNotified) {
	r.tenure.headKnown = max(r.tenure.headKnown, e.Version)
	if r.config.Version < e.Version {
		r.readConfig()
	}
}

// watchConfig follows a version that this node has just committed and notifies the peers.
func (r *Reducer) watchConfig(version uint64) {
	r.configNotified(ConfigNotified{Version: version})
	if len(r.watches) == maxWatches {
		r.watches = r.watches[1:]
	}
	r.watches = append(r.watches, configWatch{version: version, since: r.now.Mono, notified: r.now.Mono})
	if peers := r.unacknowledged(version); len(peers) > 0 {
		r.emit(NotifyConfig{Peers: peers, Version: version})
	}
	if !r.tenure.inFlight {
		// The operator waits for node rows that are read after the commit.
		r.renew()
	}
}

// unacknowledged returns the registered nodes that have neither shown the version nor surely lapsed.
func (r *Reducer) unacknowledged(version uint64) []Identity {
	var out []Identity
	for _, m := range r.registered() {
		if m.inForce < version && !m.lapsed {
			out = append(out, m.row.Identity)
		}
	}
	return out
}

// checkInForce reports the versions that have come into force, and once those that are late.
func (r *Reducer) checkInForce() {
	var open []configWatch
	for _, w := range r.watches {
		if !r.follow(&w) {
			open = append(open, w)
		}
	}
	r.watches = open
}

// follow reports whether the version is in force everywhere; only rows read after a head of that version count, since a
// node may have registered until the commit.
func (r *Reducer) follow(w *configWatch) bool {
	waiting := r.unacknowledged(w.version)
	fresh := r.tenure.nodesHead >= w.version
	if fresh && len(waiting) == 0 && r.config.Version >= w.version {
		r.emit(ConfigInForce{Version: w.version, InForce: true})
		r.emit(LogState{Subject: "config " + strconv.FormatUint(w.version, 10), From: "committed", To: "in_force"})
		return true
	}
	if !w.reported && r.now.Mono-w.since >= inForceReport {
		w.reported = true
		r.emit(ConfigInForce{Version: w.version, WaitingFor: r.waitingNames(waiting, w.version)})
	}
	if len(waiting) > 0 && r.now.Mono-w.notified >= notifyInterval {
		w.notified = r.now.Mono
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
