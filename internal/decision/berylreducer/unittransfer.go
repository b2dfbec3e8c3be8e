package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

const (
	// giveTimeout bounds how long units promised to a peer are withheld from new work here.
	giveTimeout = 3 * time.Second
	// askAgain is how long a peer that has been asked for units is passed over in favour of others.
	askAgain = 2 * time.Second
)

// askForUnits asks the peer with the largest surplus when the free units did not suffice.
func (r *Reducer) askForUnits(team string, u *teamUnits, row UnitRow) {
	short := u.running + u.waiting - row.Holdings[r.self.Incarnation]
	if short <= 0 || holdings(row) > row.Ceiling || r.now.Mono < u.askAt {
		return
	}
	share := r.fairSplit(team, u, row)
	best, surplus := "", 0
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		m := r.members[id]
		if m == nil || m.absent || m.lapsed || r.askedRecently(u, id) {
			continue
		}
		n := row.Holdings[id] - share[id]
		if row.Holdings[r.self.Incarnation] == 0 {
			// A node without any unit takes turns with the others when the ceiling is below the number of nodes.
			n = max(n, 1)
		}
		if n > surplus {
			best, surplus = id, n
		}
	}
	if best == "" {
		return
	}
	if u.asked == nil {
		u.asked = map[string]time.Duration{}
	}
	u.asked[best] = r.now.Mono
	u.askAt = r.now.Mono + rebalanceInterval
	own := Demand{Team: team, Running: u.running, Waiting: u.waiting, Units: row.Holdings[r.self.Incarnation]}
	r.emit(AskUnits{Peer: r.members[best].row.Identity, Team: team, Units: min(short, surplus), Demand: own})
}

func (r *Reducer) askedRecently(u *teamUnits, id string) bool {
	at, ok := u.asked[id]
	return ok && r.now.Mono-at < askAgain
}

// fairSplit divides the ceiling over the nodes by demand; an unknown demand counts as none, and the holder that is asked
// decides by its own.
func (r *Reducer) fairSplit(team string, u *teamUnits, row UnitRow) map[string]int {
	demand := map[string]int{r.self.Incarnation: u.running + u.waiting}
	for id, m := range r.members {
		d := m.demand[team]
		if r.now.Mono-m.demandAt >= demandAge || m.lapsed {
			d = Demand{}
		}
		if n := d.Running + d.Waiting; n > 0 || row.Holdings[id] > 0 {
			demand[id] = n
		}
	}
	return berylshare.Split(row.Ceiling, demand)
}

// unitsAsked withholds idle units, and units above this node's fair part, for the peer that asks; a peer without any
// unit gets one in turn.
func (r *Reducer) unitsAsked(e UnitsRequested) {
	u, m := r.units[e.Team], r.members[e.Incarnation]
	if u == nil || m == nil || m.lapsed || m.absent || !r.mayTransfer() || !r.usable(u) || u.lost {
		return
	}
	r.noteDemand(m, e.Demand)
	if u.giving > 0 {
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
	u.giving, u.giveTo, u.giveEnd = n, e.Incarnation, r.now.Mono+giveTimeout
	if u.held-u.running > 0 {
		r.readUnits(e.Team)
	}
}

// give moves the withheld units that are idle by now, and reports whether it did.
func (r *Reducer) give(u *teamUnits, row *UnitRow) bool {
	m := r.members[u.giveTo]
	own := row.Holdings[r.self.Incarnation]
	n := min(u.giving, own-u.running)
	if n <= 0 || r.now.Mono < u.moveAt || m == nil || m.lapsed || m.absent || holdings(*row) > row.Ceiling {
		return false
	}
	r.setOwn(row, own-n)
	row.Holdings[u.giveTo] += n
	return true
}

func (r *Reducer) notifyUnits(team, incarnation string) {
	if m := r.members[incarnation]; m != nil && !m.absent {
		r.emit(NotifyUnits{Peer: m.row.Identity, Team: team})
	}
}

// unitsMoved reads the row that a peer has changed in this node's favour.
func (r *Reducer) unitsMoved(e UnitsMoved) {
	if u := r.units[e.Team]; u != nil {
		u.wanted = true
		r.fetchUnits(e.Team)
	}
}

func (r *Reducer) noteDemand(m *member, list ...Demand) {
	if m.demand == nil {
		m.demand = map[string]Demand{}
	}
	for _, d := range list {
		m.demand[d.Team] = d
	}
	m.demandAt = r.now.Mono
}
