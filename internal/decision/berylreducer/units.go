package berylreducer

import (
	"maps"

	"github.com/beryllatch/beryllatch"
)

// teamUnits is the part of a team's ceiling that this node holds.
type teamUnits struct {
	held    int
	running int
	waiting int
	// writing is true between a ReadUnits or WriteUnits effect and its result.
	writing bool
}

func (r *Reducer) adoptTeams() {
	for _, name := range beryllatch.SortedKeys(r.config.Teams) {
		if r.units[name] == nil {
			r.units[name] = &teamUnits{}
		}
	}
}

// takeUnit reserves one unit of the team's ceiling, or reports that none is free at this node.
func (r *Reducer) takeUnit(team string) bool {
	if team == "" {
		return true
	}
	u := r.units[team]
	if u == nil || u.running >= u.held {
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

func (r *Reducer) tickUnits() {
	if !r.mayStart() {
		return
	}
	for _, team := range beryllatch.SortedKeys(r.units) {
		if u := r.units[team]; !u.writing && u.waiting > u.held-u.running {
			r.readUnits(team)
		}
	}
}

func (r *Reducer) readUnits(team string) {
	if u := r.units[team]; u != nil && !u.writing {
		u.writing = true
		r.emit(ReadUnits{Team: team})
	}
}

// unitsRead takes free units for the work that waits here.
func (r *Reducer) unitsRead(e UnitsRead) {
	u := r.units[e.Team]
	if u == nil {
		return
	}
	u.writing = false
	row := e.Row
	row.Team = e.Team
	if row.ConfigVersion < r.config.Version {
		row.ConfigVersion, row.Ceiling = r.config.Version, r.config.Teams[e.Team].Ceiling
	}
	row.Holdings = maps.Clone(row.Holdings)
	if row.Holdings == nil {
		row.Holdings = map[string]int{}
	}
	free := row.Ceiling
	for _, n := range row.Holdings {
		free -= n
	}
	take := min(free, u.running+u.waiting-u.held)
	if take <= 0 {
		return
	}
	row.Holdings[r.self.Incarnation] = u.held + take
	u.writing = true
	r.emit(WriteUnits{Row: row, Expect: e.Version})
}

func (r *Reducer) unitsWritten(e UnitsWritten) {
	u := r.units[e.Team]
	if u == nil {
		return
	}
	u.writing = false
	switch e.Result {
	case WriteDone:
		u.held = e.Row.Holdings[r.self.Incarnation]
		r.dispatchWaiting()
	case WriteConflict, WriteUnknown:
		r.readUnits(e.Team)
	case WriteFailed:
	}
}

func (r *Reducer) unitsAsked(UnitsAsked) {}

func (r *Reducer) demand() []Demand {
	var out []Demand
	for _, team := range beryllatch.SortedKeys(r.units) {
		if u := r.units[team]; u.running+u.waiting+u.held > 0 {
			out = append(out, Demand{Team: team, Running: u.running, Waiting: u.waiting, Units: u.held})
		}
	}
	return out
}
