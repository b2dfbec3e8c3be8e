package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// rebalanceInterval is the least time between two rebalancing steps for a team at one node.
	rebalanceInterval = 500 * time.Millisecond
	// unitsRetry is the least time between two reads of a unit row, also after conflicts and failed calls.
	unitsRetry = 100 * time.Millisecond
	// maxConflicts bounds how often the delay after a conflict doubles; the longest delay is 1.7 s.
	maxConflicts = 4
	// maxUnitCalls bounds the table calls for units that a single tick starts.
	maxUnitCalls = 8
	// peakWindow is the least time for which a node keeps idle units after the demand that needed them; peers that are
	// short of units can ask for them sooner. With a shorter window every single request of a team with little traffic
	// would cost two writes.
	peakWindow = 30 * time.Second
	// reserveSpread is the period over which a node distributes the first reads of its teams' rows. 36 nodes with 26
	// teams that start together would otherwise write more than two thousand rows in a second.
	reserveSpread = 4 * time.Second
	// maxReserve bounds the idle units that a node keeps for an urgent request.
	maxReserve = 2
)

// teamUnits is the state of one team's units at this node. A unit is the permission to run one execution of the team; the
// team's ceiling bounds the units of all nodes.
type teamUnits struct {
	// held counts the units that this node certainly holds in the row, also if a write is outstanding or lost.
	held    int
	running int
	waiting int
	// row is the unit row as last read or written, in the tenure generation rowGeneration.
	row           UnitRow
	version       uint64
	rowGeneration uint64
	// rowUnchanged is true when the last read found the same version of the row as this node had before.
	rowUnchanged bool
	// heldByOthers counts the units that other incarnations hold in the row.
	heldByOthers int
	// rowRead is false until the row has been read under the current incarnation.
	rowRead bool
	// needVersion is the configuration version that the row must have reached before a unit is used; it is raised when
	// the ceiling may have been lowered.
	needVersion uint64
	call        unitCall
	// callGeneration is the tenure generation, and calledAt the time, at which the latest call was started.
	callGeneration uint64
	calledAt       time.Duration
	// readAt is when the read of row was started.
	readAt time.Duration
	// nextReadAt is the earliest time of the next read of the row, nextRequestAt that of the next request to a peer for units.
	nextReadAt    time.Duration
	nextRequestAt time.Duration
	// reserveAt is when the node may first read the row just to take its reserve of idle units.
	reserveAt time.Duration
	// nextTransferAt is the earliest time of the next transfer of units to a peer.
	nextTransferAt time.Duration
	// needsRead is true while the row must be read as soon as no call is outstanding.
	needsRead bool
	// hasChecks is true if the latest write had conditions on node rows.
	hasChecks bool
	// conflicts counts the successive writes that failed because another node had changed the row.
	conflicts int
	// writeLost is true while the outcome of a write without an answer is unknown; that write expected the row version
	// lostWriteExpect.
	writeLost       bool
	lostWriteExpect uint64
	// promised counts the units that are withheld from new work for the peer promisedTo, until they have been transferred
	// or promiseEnd has passed.
	promised   int
	promisedTo string
	promiseEnd time.Duration
	// requestedAt holds the time of the last request for units to each peer, by incarnation.
	requestedAt map[string]time.Duration
	// peak is the highest demand in the window that began at peakSince, lastPeak that of the window before.
	peak      int
	lastPeak  int
	peakSince time.Duration
}

// unitCall is the table call that is outstanding for a team's unit row.
type unitCall int

const (
	unitCallNone unitCall = iota
	unitCallRead
	unitCallWrite
)

// adoptTeams applies the teams and ceilings of a newly adopted configuration; previous is the one before it.
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
			// The ceiling may have been lowered, so the units are not used before the row shows the new ceiling. A skipped
			// version may have raised the ceiling in between, and another node may have taken units under it.
			u.needVersion = r.config.Version
			u.needsRead = u.rowRead
		}
	}
}

// forgetUnits resets all holdings after a change of the incarnation, since the rows still assign them to the former one.
func (r *Reducer) forgetUnits() {
	for _, u := range r.units {
		u.held, u.promised, u.rowRead, u.writeLost = 0, 0, false, false
		u.rowGeneration = 0
	}
}

// usable reports whether the node may use the units of the last row: it was read or written in the current tenure, under
// a recent enough configuration.
func (r *Reducer) usable(u *teamUnits) bool {
	return u.rowRead && u.rowGeneration == r.tenure.generation && u.row.ConfigVersion >= u.needVersion
}

// limit is the number of units that may be in use at this node.
func (r *Reducer) limit(u *teamUnits) int {
	if !r.usable(u) {
		return 0
	}
	return max(0, min(u.held-u.promised, u.row.Ceiling-u.heldByOthers))
}

// setRow stores a row that was read or written in the current tenure generation.
func (r *Reducer) setRow(u *teamUnits, row UnitRow, version uint64) {
	u.row, u.version, u.rowGeneration = row, version, r.tenure.generation
	u.heldByOthers = holdings(row) - row.Holdings[r.self.Incarnation]
}

func holdings(row UnitRow) int {
	n := 0
	for _, h := range row.Holdings {
		n += h
	}
	return n
}

// takeUnit takes one of the team's units at this node into use; false means that none is free here. Work without a team
// needs no unit.
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
	nodes := max(1, len(r.tenure.knownIncarnations))
	return min(maxReserve, r.config.Teams[team].Ceiling/(2*nodes))
}

// need is the number of units that the node should hold for the team: those for its running and waiting work, and the
// reserve.
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
		if u.promised > 0 && r.now.Mono >= u.promiseEnd {
			u.promised = 0
		}
		if _, ok := r.config.Teams[team]; !ok && r.unused(u) {
			delete(r.units, team)
			continue
		}
		if started < maxUnitCalls && r.now.Mono >= u.nextReadAt && r.unitReadDue(team, u) && r.fetchUnits(team) {
			started++
		}
	}
}

// unused reports whether the node has no units, no work and no outstanding call of the team, and can drop its state.
func (r *Reducer) unused(u *teamUnits) bool {
	return u.held == 0 && u.running == 0 && u.waiting == 0 && u.call == unitCallNone && !u.writeLost
}

func (r *Reducer) tickPeak(u *teamUnits) {
	demand := u.running + u.waiting
	if r.now.Mono-u.peakSince >= peakWindow {
		u.lastPeak, u.peak, u.peakSince = u.peak, demand, r.now.Mono
	}
	u.peak = max(u.peak, demand)
}

// unitReadDue reports whether the team's row must be read now.
func (r *Reducer) unitReadDue(team string, u *teamUnits) bool {
	need := r.need(team, u)
	switch {
	case u.needsRead, u.writeLost:
		return true
	case need == 0 && u.held == 0, u.waiting == 0 && !u.rowRead && r.now.Mono < u.reserveAt:
		return false
	case !r.usable(u), u.waiting > 0 && r.limit(u) <= u.running:
		return true
	case u.promised > 0 && u.held > u.running && r.now.Mono >= u.nextTransferAt:
		return true
	case u.held+u.heldByOthers > u.row.Ceiling && u.held > u.running:
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

// readUnits reads the row at the request of waiting work, but not before nextReadAt.
func (r *Reducer) readUnits(team string) {
	if u := r.units[team]; u != nil && r.now.Mono >= u.nextReadAt {
		r.fetchUnits(team)
	}
}

// fetchUnits starts a read of the team's row, and reports whether it did: not while a call is outstanding or the node has
// no tenure of its own.
func (r *Reducer) fetchUnits(team string) bool {
	u := r.units[team]
	if u == nil || u.call != unitCallNone || !r.mayTransfer() {
		return false
	}
	u.needsRead = false
	u.call, u.callGeneration, u.calledAt = unitCallRead, r.tenure.generation, r.now.Mono
	u.nextReadAt = r.now.Mono + unitsRetry
	r.emit(ReadUnits{Team: team})
	return true
}

func (r *Reducer) unitsRead(e UnitsRead) {
	u := r.units[e.Team]
	if u == nil || u.call != unitCallRead {
		return
	}
	u.call = unitCallNone
	if u.callGeneration != r.tenure.generation || (u.rowRead && e.Version < u.version) {
		u.needsRead, u.nextReadAt = true, r.now.Mono
		return
	}
	row := e.Row
	row.Team = e.Team
	for _, id := range beryllatch.SortedKeys(row.Holdings) {
		r.trackIncarnation(id)
	}
	u.rowUnchanged = u.rowRead && e.Version == u.version
	r.setRow(u, row, e.Version)
	u.rowRead = true
	u.readAt = u.calledAt
	unresolved := u.writeLost && e.Version == u.lostWriteExpect && !r.faults.trustRead
	if unresolved {
		// The lost write may still take effect. Only another write that expects the same version settles it.
		u.held = min(u.held, row.Holdings[r.self.Incarnation])
	} else {
		u.writeLost = false
		u.held = row.Holdings[r.self.Incarnation]
	}
	r.planUnits(e.Team, u, unresolved)
	r.dispatchWaiting()
}

func (r *Reducer) unitsReadFailed(e UnitsReadFailed) {
	if u := r.units[e.Team]; u != nil && u.call == unitCallRead {
		u.call, u.needsRead = unitCallNone, true
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
		if !u.writeLost {
			u.writeLost, u.lostWriteExpect = true, u.version
		}
		u.promised = 0
		u.needsRead, u.nextReadAt = true, r.now.Mono
	case WriteConflict:
		u.needsRead, u.nextReadAt = true, r.now.Mono+r.conflictDelay(u)
	case WriteFailed:
		u.needsRead = true
	}
	if u.needsRead {
		r.readUnits(e.Team)
	}
}

// conflictDelay returns the random pause after a conflict, which keeps nodes that compete for a row apart. A conflict of a
// write with checks may mean that an expired incarnation has renewed its tenure after all. Only a new read of the node rows
// shows that, so the pause is then as long as a renewal takes.
func (r *Reducer) conflictDelay(u *teamUnits) time.Duration {
	if u.hasChecks {
		r.tenure.nodeRowsSteady = false
		return renewInterval
	}
	u.conflicts = min(u.conflicts+1, maxConflicts)
	return unitsRetry + time.Duration(r.jitter.Int64N(int64(unitsRetry)<<u.conflicts))
}

// unitsStored applies a row that was written, unless the tenure has expired since the write was sent.
func (r *Reducer) unitsStored(u *teamUnits, e UnitsWritten) {
	u.writeLost, u.conflicts = false, 0
	if u.callGeneration != r.tenure.generation {
		u.needsRead = true
		return
	}
	before := u.row.Holdings
	r.setRow(u, e.Row, e.Version)
	u.held = e.Row.Holdings[r.self.Incarnation]
	if holdings(e.Row) < e.Row.Ceiling {
		// Units are still free, so a burst may take more of them without waiting for the next interval.
		u.nextReadAt = r.now.Mono
	}
	if moved := e.Row.Holdings[u.promisedTo] - before[u.promisedTo]; u.promised > 0 && moved > 0 {
		u.promised = max(0, u.promised-moved)
		u.nextTransferAt = r.now.Mono + rebalanceInterval
		r.notifyUnits(e.Team, u.promisedTo)
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
