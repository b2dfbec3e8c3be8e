package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

const (
	// promiseTimeout bounds how long a node withholds units from new work for a peer that has asked for them.
	promiseTimeout = 3 * time.Second
	// repeatRequestDelay is the least time between two requests to the same peer; others are asked in between.
	repeatRequestDelay = 2 * time.Second
)

// requestUnits asks the peer with the largest surplus for units, if this node holds too few for its running and waiting
// work.
func (r *Reducer) requestUnits(team string, u *teamUnits, row UnitRow) {
	missing := u.running + u.waiting - row.Holdings[r.self.Incarnation]
	if missing <= 0 || holdings(row) > row.Ceiling || r.now.Mono < u.nextRequestAt {
		return
	}
	share := r.fairSplit(team, u, row)
	best, surplus := "", 0
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		m := r.members[id]
		if m == nil || m.absent || m.expired || r.requestedRecently(u, id) {
			continue
		}
		n := row.Holdings[id] - share[id]
		if row.Holdings[r.self.Incarnation] == 0 {
			// When the ceiling is below the number of nodes, a fair part may be zero. A node without any unit may then ask
			// every node that holds one, so that the nodes take turns.
			n = max(n, 1)
		}
		if n > surplus {
			best, surplus = id, n
		}
	}
	if best == "" {
		return
	}
	if u.requestedAt == nil {
		u.requestedAt = map[string]time.Duration{}
	}
	u.requestedAt[best] = r.now.Mono
	u.nextRequestAt = r.now.Mono + rebalanceInterval
	own := Demand{Team: team, Running: u.running, Waiting: u.waiting, Units: row.Holdings[r.self.Incarnation]}
	r.emit(RequestUnits{Peer: r.members[best].row.Identity, Team: team, Units: min(missing, surplus), Demand: own})
}

func (r *Reducer) requestedRecently(u *teamUnits, id string) bool {
	at, ok := u.requestedAt[id]
	return ok && r.now.Mono-at < repeatRequestDelay
}

// fairSplit divides the ceiling over the nodes by their demand. An unknown or outdated demand counts as zero: the result
// only selects the peer to ask, and that peer decides with its own demand.
func (r *Reducer) fairSplit(team string, u *teamUnits, row UnitRow) map[string]int {
	demand := map[string]int{r.self.Incarnation: u.running + u.waiting}
	for id, m := range r.members {
		d := m.demand[team]
		if r.now.Mono-m.demandAt >= demandTTL || m.expired {
			d = Demand{}
		}
		if n := d.Running + d.Waiting; n > 0 || row.Holdings[id] > 0 {
			demand[id] = n
		}
	}
	return berylshare.Split(row.Ceiling, demand)
}

// unitsRequested handles a peer's request. It withholds the idle units, or the units above this node's fair part, for the
// peer; a peer that has waiting work and no unit gets at least one. If there are none to withhold, it sends the peer its
// demand, so that the peer can compute the fair parts anew.
func (r *Reducer) unitsRequested(e UnitsRequested) {
	u, m := r.units[e.Team], r.members[e.Incarnation]
	if u == nil || m == nil || m.expired || m.absent || !r.mayTransfer() || !r.usable(u) || u.writeLost {
		return
	}
	r.recordDemand(m, e.Demand)
	if u.promised > 0 {
		return
	}
	idle := u.held - u.running - u.waiting
	above := u.held - r.fairSplit(e.Team, u, u.row)[r.self.Incarnation]
	if e.Demand.Units == 0 && e.Demand.Waiting > 0 {
		above = max(above, min(1, u.held))
	}
	n := min(e.Units, max(idle, above))
	if n <= 0 {
		r.emit(SendHeartbeats{Peers: []Identity{m.row.Identity}, ConfigVersion: r.config.Version, Demand: r.demand()})
		return
	}
	u.promised, u.promisedTo, u.promiseEnd = n, e.Incarnation, r.now.Mono+promiseTimeout
	if u.held-u.running > 0 {
		r.readUnits(e.Team)
	}
}

// transferPromised transfers the withheld units that are idle by now to the peer in the row, and reports whether it did.
func (r *Reducer) transferPromised(u *teamUnits, row *UnitRow) bool {
	m := r.members[u.promisedTo]
	own := row.Holdings[r.self.Incarnation]
	n := min(u.promised, own-u.running)
	if n <= 0 || r.now.Mono < u.nextTransferAt || m == nil || m.expired || m.absent || holdings(*row) > row.Ceiling {
		return false
	}
	r.setOwnHolding(row, own-n)
	row.Holdings[u.promisedTo] += n
	return true
}

func (r *Reducer) notifyUnits(team, incarnation string) {
	if m := r.members[incarnation]; m != nil && !m.absent {
		r.emit(NotifyUnits{Peer: m.row.Identity, Team: team})
	}
}

// unitsTransferred reads the row after a peer's notice that it has transferred units to this node.
func (r *Reducer) unitsTransferred(e UnitsTransferred) {
	if u := r.units[e.Team]; u != nil {
		u.needsRead = true
		r.fetchUnits(e.Team)
	}
}

func (r *Reducer) recordDemand(m *member, list ...Demand) {
	if m.demand == nil {
		m.demand = map[string]Demand{}
	}
	for _, d := range list {
		m.demand[d.Team] = d
	}
	m.demandAt = r.now.Mono
}
