package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// rebalanceInterval is the least time between two rebalancing steps of a team at one node.
	rebalanceInterval = 500 * time.Millisecond
	// unitsRetry spaces the reads after conflicts and failed calls.
	unitsRetry = 100 * time.Millisecond
	// maxConflicts bounds the growth of the delay after conflicts, to 1.7 s.
	maxConflicts = 4
	// maxUnitCalls bounds the calls to the table that one tick starts for units.
	maxUnitCalls = 8
	// peakWindow is how long idle units stay at least after the demand that needed them; peers that are short of units ask
	// for them sooner. Shorter windows cost two writes for each single request of a quiet team.
	peakWindow = 30 * time.Second
	// reserveSpread spreads the first reads of nodes that start together; 36 nodes with 26 teams would otherwise write
	// more than two thousand rows in a second.
	reserveSpread = 4 * time.Second
	// maxReserve bounds the idle units that a node keeps for an urgent request.
	maxReserve = 2
)

// teamUnits is the part of a team's ceiling that this node holds.
type teamUnits struct {
	// held counts the units that the row surely gives to this node.
	held    int
	running int
	waiting int
	// row is the unit row as last read or written, of the tenure generation rowGeneration.
	row           UnitRow
	version       uint64
	rowGeneration uint64
	// still is true when the last read showed the row unchanged since the one before.
	still bool
	// others counts the units that the row gives to other incarnations.
	others int
	// rowKnown is false until the row has been read once under the present incarnation.
	rowKnown bool
	// needVersion is the configuration version that the row must have reached before a unit is used; a lowered
	// ceiling raises it.
	needVersion uint64
	call        unitCall
	// callGeneration is the tenure generation in which the outstanding call was started.
	callGeneration uint64
	calledAt       time.Duration
	// readAt is when the read of row was started.
	readAt time.Duration
	// nextAt is the earliest time of the next read; askAt and moveAt space the transfers between peers.
	nextAt time.Duration
	askAt  time.Duration
	// reserveAt is when the node first takes its reserve.
	reserveAt time.Duration
	moveAt    time.Duration
	// wanted asks for a read as soon as no call is outstanding.
	wanted bool
	// checked is true while the outstanding write has conditions on node rows.
	checked bool
	// conflicts counts the writes in a row that lost against another node.
	conflicts int
	// lost is true after a write without an answer, which expected the version lostExpect.
	lost       bool
	lostExpect uint64
	// giving units are withheld from new work until they have moved to giveTo, or until giveEnd.
	giving  int
	giveTo  string
	giveEnd time.Duration
	// asked holds the time of the last request for units to each peer.
	asked map[string]time.Duration
	// peak is the highest demand since peakFrom, and lastPeak that of the window before.
	peak     int
	lastPeak int
	peakFrom time.Duration
}

// unitCall is the call to the table that is outstanding for a team.
type unitCall int

const (
	unitCallNone unitCall = iota
	unitCallRead
	unitCallWrite
)

// adoptTeams follows the teams and ceilings of a new configuration; previous is the one before it.
func (r *Reducer) adoptTeams(previous beryllatch.Config) {
	for _, name := range beryllatch.SortedKeys(r.config.Teams) {
		if r.units[name] == nil {
			r.units[name] = &teamUnits{reserveAt: r.now.Mono + time.Duration(r.jitter.Int64N(int64(reserveSpread)))}
		}
	}
	skipped := r.config.Version > previous.Version+1
	for _, name := range beryllatch.SortedKeys(r.units) {
		u := r.units[name]
		if skipped || r.config.Teams[name].Ceiling < previous.Teams[name].Ceiling {
			// The ceiling may have been lowered: the units count again once the row shows it. A skipped version may
			// have raised it in between, and another node may have taken units under it.
			u.needVersion = r.config.Version
			u.wanted = u.rowKnown
		}
	}
}

// forgetUnits drops all holdings, since they belong to an earlier incarnation.
func (r *Reducer) forgetUnits() {
	for _, u := range r.units {
		u.held, u.giving, u.rowKnown, u.lost = 0, 0, false, false
		u.rowGeneration = 0
	}
}

// usable reports whether the last known row gives the node its units under the present ceiling.
func (r *Reducer) usable(u *teamUnits) bool {
	return u.rowKnown && u.rowGeneration == r.tenure.generation && u.row.ConfigVersion >= u.needVersion
}

// limit is the number of units that may be in use at this node.
func (r *Reducer) limit(u *teamUnits) int {
	if !r.usable(u) {
		return 0
	}
	return max(0, min(u.held-u.giving, u.row.Ceiling-u.others))
}

// setRow takes over a row that was read or written in the present tenure generation.
func (r *Reducer) setRow(u *teamUnits, row UnitRow, version uint64) {
	u.row, u.version, u.rowGeneration = row, version, r.tenure.generation
	u.others = holdings(row) - row.Holdings[r.self.Incarnation]
}

func holdings(row UnitRow) int {
	n := 0
	for _, h := range row.Holdings {
		n += h
	}
	return n
}

// takeUnit reserves one unit of the team's ceiling, or reports that none is free at this node.
func (r *Reducer) takeUnit(team string) bool {
	if team == "" {
		return true
	}
	u := r.units[team]
	if u == nil || u.running >= r.limit(u) {
		return false
	}
	u.running++
	return true
}

func (r *Reducer) returnUnit(team string) {
	if u := r.units[team]; u != nil {
		u.running--
	}
}

// reserve is the number of idle units that the node keeps for the team.
func (r *Reducer) reserve(team string) int {
	nodes := max(1, len(r.tenure.known))
	return min(maxReserve, r.config.Teams[team].Ceiling/(2*nodes))
}

// need is the number of units that the node wants to hold for the team.
func (r *Reducer) need(team string, u *teamUnits) int {
	switch {
	case r.config.Teams[team].Ceiling == 0:
		return u.running
	case r.refusesNew():
		return u.running + u.waiting
	}
	return u.running + u.waiting + r.reserve(team)
}

func (r *Reducer) tickUnits() {
	started := 0
	for _, team := range beryllatch.SortedKeys(r.units) {
		u := r.units[team]
		r.tickPeak(u)
		if u.giving > 0 && r.now.Mono >= u.giveEnd {
			u.giving = 0
		}
		if _, ok := r.config.Teams[team]; !ok && r.idle(u) {
			delete(r.units, team)
			continue
		}
		if started < maxUnitCalls && r.now.Mono >= u.nextAt && r.unitStep(team, u) && r.fetchUnits(team) {
			started++
		}
	}
}

// idle reports whether nothing is left of the team at this node.
func (r *Reducer) idle(u *teamUnits) bool {
	return u.held == 0 && u.running == 0 && u.waiting == 0 && u.call == unitCallNone && !u.lost
}

func (r *Reducer) tickPeak(u *teamUnits) {
	demand := u.running + u.waiting
	if r.now.Mono-u.peakFrom >= peakWindow {
		u.lastPeak, u.peak, u.peakFrom = u.peak, demand, r.now.Mono
	}
	u.peak = max(u.peak, demand)
}

// unitStep reports whether the team's row must be read now.
func (r *Reducer) unitStep(team string, u *teamUnits) bool {
	need := r.need(team, u)
	switch {
	case u.wanted, u.lost:
		return true
	case need == 0 && u.held == 0, u.waiting == 0 && !u.rowKnown && r.now.Mono < u.reserveAt:
		return false
	case !r.usable(u), u.waiting > 0 && r.limit(u) <= u.running:
		return true
	case u.giving > 0 && u.held > u.running && r.now.Mono >= u.moveAt:
		return true
	case u.held+u.others > u.row.Ceiling && u.held > u.running:
		return true
	case u.row.Ceiling != r.config.Teams[team].Ceiling && u.row.ConfigVersion < r.config.Version:
		return true
	case r.excess(team, u) > 0:
		return true
	}
	return need > u.held && r.now.Mono-u.calledAt >= peakWindow
}

// excess is the number of idle units that the demand of the last window did not need.
func (r *Reducer) excess(team string, u *teamUnits) int {
	if r.refusesNew() || r.config.Teams[team].Ceiling == 0 {
		return max(0, u.held-r.need(team, u))
	}
	return max(0, u.held-max(u.peak, u.lastPeak, u.running+u.waiting)-r.reserve(team))
}

// readUnits reads the row for work that waits, at most once an interval.
func (r *Reducer) readUnits(team string) {
	if u := r.units[team]; u != nil && r.now.Mono >= u.nextAt {
		r.fetchUnits(team)
	}
}

// fetchUnits starts a read of the team's row unless a call is outstanding, and reports whether it did.
func (r *Reducer) fetchUnits(team string) bool {
	u := r.units[team]
	if u == nil || u.call != unitCallNone || !r.mayTransfer() {
		return false
	}
	u.wanted = false
	u.call, u.callGeneration, u.calledAt = unitCallRead, r.tenure.generation, r.now.Mono
	u.nextAt = r.now.Mono + unitsRetry
	r.emit(ReadUnits{Team: team})
	return true
}

func (r *Reducer) unitsRead(e UnitsRead) {
	u := r.units[e.Team]
	if u == nil || u.call != unitCallRead {
		return
	}
	u.call = unitCallNone
	if u.callGeneration != r.tenure.generation || (u.rowKnown && e.Version < u.version) {
		u.wanted, u.nextAt = true, r.now.Mono
		return
	}
	row := e.Row
	row.Team = e.Team
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		r.noteHolder(id)
	}
	u.still = u.rowKnown && e.Version == u.version
	r.setRow(u, row, e.Version)
	u.rowKnown = true
	u.readAt = u.calledAt
	unresolved := u.lost && e.Version == u.lostExpect && !r.faults.trustRead
	if unresolved {
		// The lost write may still arrive; only a further write at this version decides it.
		u.held = min(u.held, row.Holdings[r.self.Incarnation])
	} else {
		u.lost = false
		u.held = row.Holdings[r.self.Incarnation]
	}
	r.planUnits(e.Team, u, unresolved)
	r.dispatchWaiting()
}

func (r *Reducer) unitsReadFailed(e UnitsReadFailed) {
	if u := r.units[e.Team]; u != nil && u.call == unitCallRead {
		u.call, u.wanted = unitCallNone, true
	}
}

func (r *Reducer) unitsWritten(e UnitsWritten) {
	u := r.units[e.Team]
	if u == nil || u.call != unitCallWrite {
		return
	}
	u.call = unitCallNone
	switch e.Result {
	case WriteDone:
		r.unitsStored(u, e)
	case WriteUnknown:
		if !u.lost {
			u.lost, u.lostExpect = true, u.version
		}
		u.giving = 0
		u.wanted, u.nextAt = true, r.now.Mono
	case WriteConflict:
		u.wanted, u.nextAt = true, r.now.Mono+r.conflictDelay(u)
	case WriteFailed:
		u.wanted = true
	}
	if u.wanted {
		r.readUnits(e.Team)
	}
}

// conflictDelay spreads the nodes that compete for one row; a conflict of a write with checks may mean that a lapsed
// incarnation has come back, which only a new read of the node rows shows.
func (r *Reducer) conflictDelay(u *teamUnits) time.Duration {
	if u.checked {
		r.tenure.steady = false
		return renewInterval
	}
	u.conflicts = min(u.conflicts+1, maxConflicts)
	return unitsRetry + time.Duration(r.jitter.Int64N(int64(unitsRetry)<<u.conflicts))
}

// unitsStored takes over a written row, unless the tenure has lapsed since the write was sent.
func (r *Reducer) unitsStored(u *teamUnits, e UnitsWritten) {
	u.lost, u.conflicts = false, 0
	if u.callGeneration != r.tenure.generation {
		u.wanted = true
		return
	}
	before := u.row.Holdings
	r.setRow(u, e.Row, e.Version)
	u.held = e.Row.Holdings[r.self.Incarnation]
	if holdings(e.Row) < e.Row.Ceiling {
		// Without contention a burst need not wait for the next interval.
		u.nextAt = r.now.Mono
	}
	if moved := e.Row.Holdings[u.giveTo] - before[u.giveTo]; u.giving > 0 && moved > 0 {
		u.giving = max(0, u.giving-moved)
		u.moveAt = r.now.Mono + rebalanceInterval
		r.notifyUnits(e.Team, u.giveTo)
	}
	r.dispatchWaiting()
}

func (r *Reducer) demand() []Demand {
	var out []Demand
	for _, team := range beryllatch.SortedKeys(r.units) {
		if u := r.units[team]; u.running+u.waiting+u.held > 0 {
			out = append(out, Demand{Team: team, Running: u.running, Waiting: u.waiting, Units: u.held})
		}
	}
	return out
}
