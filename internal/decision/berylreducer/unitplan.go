package berylreducer

import (
	"maps"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

// planUnits decides what to write after a read of the team's row; force writes even an unchanged row.
func (r *Reducer) planUnits(team string, u *teamUnits, force bool) {
	if !r.mayTransfer() || u.row.ConfigVersion > r.config.Version {
		r.followNewerRow(team, u)
		return
	}
	row := u.row
	row.Holdings = maps.Clone(row.Holdings)
	if row.Holdings == nil {
		row.Holdings = map[string]int{}
	}
	row.ConfigVersion, row.Ceiling = r.config.Version, r.config.Teams[team].Ceiling
	checks := r.reclaim(&row)
	given := r.give(u, &row)
	r.lower(team, u, &row)
	r.take(team, u, &row)
	r.takeAdopted(team, u, &row)
	if force || changed(u.row, row) || u.row.ConfigVersion < u.needVersion {
		r.writeUnits(u, row, checks)
	}
	if holdings(row) >= row.Ceiling {
		u.nextAt = max(u.nextAt, r.now.Mono+rebalanceInterval)
	}
	if !given {
		r.askForUnits(team, u, row)
	}
}

// followNewerRow only reads the configuration: a node behind the row's version takes nothing.
func (r *Reducer) followNewerRow(team string, u *teamUnits) {
	if u.row.ConfigVersion > r.config.Version {
		r.tenure.headKnown = max(r.tenure.headKnown, u.row.ConfigVersion)
		r.readConfig()
		r.units[team].wanted = true
	}
}

func changed(a, b UnitRow) bool {
	return a.Ceiling != b.Ceiling || !maps.Equal(a.Holdings, b.Holdings)
}

// reclaim frees the units of lapsed incarnations and returns the conditions of the write.
func (r *Reducer) reclaim(row *UnitRow) []NodeCheck {
	var checks []NodeCheck
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		if id != r.self.Incarnation && r.reclaimable(id) {
			delete(row.Holdings, id)
			checks = append(checks, r.lapsedCheck(id))
			r.count("units_reclaimed")
		}
	}
	return checks
}

// lower withdraws idle units above the ceiling and idle units that the demand no longer needs.
func (r *Reducer) lower(team string, u *teamUnits, row *UnitRow) {
	held := row.Holdings[r.self.Incarnation]
	target := held - min(r.excess(team, u), held)
	if over := holdings(*row) - row.Ceiling; over > 0 {
		target = min(target, berylshare.Level(row.Ceiling, row.Holdings)[r.self.Incarnation])
		if u.still {
			// The other holders cannot lower now: a lapsed node until its units are reclaimed, one with long executions until
			// they end. While the sum is above the ceiling no node starts work, so idle units here would stop the team.
			target = min(target, held-over)
		}
	}
	r.setOwn(row, min(held, max(target, u.running)))
}

// take adds free units for the demand of this node.
func (r *Reducer) take(team string, u *teamUnits, row *UnitRow) {
	own := row.Holdings[r.self.Incarnation]
	free := row.Ceiling - holdings(*row)
	if n := min(free, r.need(team, u)-own); n > 0 && u.giving == 0 {
		r.setOwn(row, own+n)
	}
}

// takeAdopted adds units for adopted tasks that hold none, even beyond the ceiling: the tasks run already, and nothing new
// starts until the holdings are down to the ceiling again.
func (r *Reducer) takeAdopted(team string, u *teamUnits, row *UnitRow) {
	if n := r.adoptedWithoutUnit(team); n > 0 {
		r.setOwn(row, max(row.Holdings[r.self.Incarnation], u.running+u.giving+n))
	}
}

func (r *Reducer) setOwn(row *UnitRow, n int) {
	if n > 0 {
		row.Holdings[r.self.Incarnation] = n
		return
	}
	delete(row.Holdings, r.self.Incarnation)
}

// writeUnits lowers the node's own count before the write can take effect.
func (r *Reducer) writeUnits(u *teamUnits, row UnitRow, checks []NodeCheck) {
	u.held = min(u.held, row.Holdings[r.self.Incarnation])
	u.call, u.callGeneration, u.calledAt = unitCallWrite, r.tenure.generation, r.now.Mono
	u.checked = len(checks) > 0
	r.emit(WriteUnits{Row: row, Expect: u.version, Checks: checks})
}

// sweepUnits reads the rows that may still name a lapsed incarnation and reports whether any is left to read.
func (r *Reducer) sweepUnits(incarnation string) bool {
	due := r.members[incarnation].lapsedAt + longestLease
	left, started := false, 0
	for _, team := range beryllatch.SortedKeys(r.units) {
		u := r.units[team]
		if u.rowKnown && u.readAt >= due && u.row.Holdings[incarnation] == 0 {
			continue
		}
		left = true
		if started < maxUnitCalls && r.now.Mono >= u.nextAt && r.fetchUnits(team) {
			started++
		}
	}
	return left
}

// unitsReturned reports whether a stopping node has given all its units back.
func (r *Reducer) unitsReturned() bool {
	for _, u := range r.units {
		if u.held > 0 || u.lost || u.call == unitCallWrite {
			return false
		}
	}
	return true
}
