package berylreducer

import (
	"maps"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

// planUnits computes the new unit row of a team after a read, and writes it if it differs or if the stored row was written
// under too old a configuration; force writes even an unchanged row.
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
	checks := r.reclaimUnits(&row)
	transferred := r.transferPromised(u, &row)
	r.lowerHolding(team, u, &row)
	r.takeFreeUnits(team, u, &row)
	r.takeAdoptedUnits(team, u, &row)
	if force || holdingsChanged(u.row, row) || u.row.ConfigVersion < u.needVersion {
		r.writeUnits(u, row, checks)
	}
	if holdings(row) >= row.Ceiling {
		u.nextReadAt = max(u.nextReadAt, r.now.Mono+rebalanceInterval)
	}
	if !transferred {
		r.requestUnits(team, u, row)
	}
}

// followNewerRow reads the configuration if the unit row was written under a newer one. Until it is adopted, the node
// writes nothing to the row.
func (r *Reducer) followNewerRow(team string, u *teamUnits) {
	if u.row.ConfigVersion > r.config.Version {
		r.tenure.highestVersion = max(r.tenure.highestVersion, u.row.ConfigVersion)
		r.readConfig()
		r.units[team].needsRead = true
	}
}

func holdingsChanged(a, b UnitRow) bool {
	return a.Ceiling != b.Ceiling || !maps.Equal(a.Holdings, b.Holdings)
}

// reclaimUnits removes the units of expired incarnations from the row. It returns the conditions of the write: that these
// incarnations have not renewed their tenure in the meantime.
func (r *Reducer) reclaimUnits(row *UnitRow) []NodeCheck {
	var checks []NodeCheck
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		if id != r.self.Incarnation && r.reclaimable(id) {
			delete(row.Holdings, id)
			checks = append(checks, r.notRenewedCheck(id))
			r.count("units_reclaimed")
		}
	}
	return checks
}

// lowerHolding lowers this node's holding by its idle units that the demand no longer needs and, while the team is above
// its ceiling, by those beyond the node's part of the ceiling.
func (r *Reducer) lowerHolding(team string, u *teamUnits, row *UnitRow) {
	held := row.Holdings[r.self.Incarnation]
	target := held - min(r.excess(team, u), held)
	if over := holdings(*row) - row.Ceiling; over > 0 {
		target = min(target, berylshare.Level(row.Ceiling, row.Holdings)[r.self.Incarnation])
		if u.rowUnchanged {
			// The row has not changed since the last read, so the other nodes cannot lower their holdings now: the units of an
			// expired node must first be reclaimed, and those of a busy node are in use until its executions complete. No node
			// starts work while the sum is above the ceiling, so idle units kept here would stop the team's work.
			target = min(target, held-over)
		}
	}
	r.setOwnHolding(row, min(held, max(target, u.running)))
}

// takeFreeUnits adds free units of the team to this node's holding, as far as it needs them.
func (r *Reducer) takeFreeUnits(team string, u *teamUnits, row *UnitRow) {
	own := row.Holdings[r.self.Incarnation]
	free := row.Ceiling - holdings(*row)
	if n := min(free, r.need(team, u)-own); n > 0 && u.promised == 0 {
		r.setOwnHolding(row, own+n)
	}
}

// takeAdoptedUnits adds units for adopted tasks that hold none, even beyond the ceiling: these tasks are already running,
// and no new work starts until the sum of the holdings is down to the ceiling again.
func (r *Reducer) takeAdoptedUnits(team string, u *teamUnits, row *UnitRow) {
	if n := r.countAdoptedWithoutUnit(team); n > 0 {
		r.setOwnHolding(row, max(row.Holdings[r.self.Incarnation], u.running+u.promised+n))
	}
}

func (r *Reducer) setOwnHolding(row *UnitRow, n int) {
	if n > 0 {
		row.Holdings[r.self.Incarnation] = n
		return
	}
	delete(row.Holdings, r.self.Incarnation)
}

// writeUnits writes the row. A lower holding applies to this node at once, since the write may take effect before its
// result arrives; a higher one applies only after the result.
func (r *Reducer) writeUnits(u *teamUnits, row UnitRow, checks []NodeCheck) {
	u.held = min(u.held, row.Holdings[r.self.Incarnation])
	u.call, u.callGeneration, u.calledAt = unitCallWrite, r.tenure.generation, r.now.Mono
	u.hasChecks = len(checks) > 0
	r.emit(WriteUnits{Row: row, Expect: u.version, Checks: checks})
}

// sweepUnits reads the unit rows that may still contain units of an expired incarnation, so that they are reclaimed. It
// reports whether any such row remains to be read.
func (r *Reducer) sweepUnits(incarnation string) bool {
	leasesEnd := r.members[incarnation].expiredAt + longestLease
	remaining, started := false, 0
	for _, team := range beryllatch.SortedKeys(r.units) {
		u := r.units[team]
		if u.rowRead && u.readAt >= leasesEnd && u.row.Holdings[incarnation] == 0 {
			continue
		}
		remaining = true
		if started < maxUnitCalls && r.now.Mono >= u.nextReadAt && r.fetchUnits(team) {
			started++
		}
	}
	return remaining
}

// unitsReturned reports whether a stopping node has returned all its units.
func (r *Reducer) unitsReturned() bool {
	for _, u := range r.units {
		if u.held > 0 || u.writeLost || u.call == unitCallWrite {
			return false
		}
	}
	return true
}
