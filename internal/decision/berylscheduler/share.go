package berylscheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

// shareBurst is for how long a team's unused share accumulates.
const shareBurst = 2 * time.Second

// teamShare counts the jobs that a team may still submit within its share.
type teamShare struct {
	jobs       float64
	refilledAt time.Time
}

// takeFromShare takes one job from the team's share and reports whether the share was used up. The share grows by the team's
// weight, in jobs per second. Jobs above it wait behind those of teams within their share, so that a burst of one team does not
// delay the others.
func (s *Scheduler) takeFromShare(team string) bool {
	t, ok := s.deployment.Teams[team]
	if !ok || t.Weight <= 0 {
		return false
	}
	share := &s.team(team).share
	limit := max(t.Weight*shareBurst.Seconds(), 1)
	if share.refilledAt.IsZero() {
		share.jobs = limit
	} else {
		share.jobs = min(share.jobs+t.Weight*s.now.Sub(share.refilledAt).Seconds(), limit)
	}
	share.refilledAt = s.now
	if share.jobs < 1 {
		return true
	}
	share.jobs--
	return false
}

// updateShares computes the capacity of the fleet and the part of it up to which each team is within its fair share. The load that it
// answers is one team that sends many times its usual to any of the queues: the others get what they ask for up to their weighted
// part, and the team gets what they leave. Late work doesn't count as demand.
func (s *Scheduler) updateShares() {
	if !s.shared {
		return
	}
	s.capacity = s.fleetCapacity()
	demands := make(map[string]beryllatch.Resources)
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		for st := range j.waitingSteps {
			if st.spec.LongRunning || !s.now.After(s.timing(st).startBy) {
				demands[j.Team] = demands[j.Team].Plus(st.spec.ReservedCapacity().Times(st.tasksWaiting))
			}
		}
	}
	names := slices.Sorted(maps.Keys(s.teams))
	names = slices.DeleteFunc(names, func(name string) bool { return s.deployment.Teams[name].Weight <= 0 })
	accounts := make([]berylshare.Account, len(names))
	for i, name := range names {
		accounts[i] = berylshare.Account{Weight: s.deployment.Teams[name].Weight, Demand: demands[name].Plus(s.teams[name].booked)}
	}
	for i, limit := range berylshare.Divide(s.capacity, accounts) {
		s.teams[names[i]].shareLimit = limit
	}
}

// fleetCapacity returns the capacity of all instances that serve pools or can be moved to them, or of all workers if the platform
// lists no instances.
func (s *Scheduler) fleetCapacity() beryllatch.Resources {
	var out beryllatch.Resources
	if len(s.fleet.instances) == 0 {
		for _, w := range s.sortedWorkers {
			if w.registered && s.inService(w) {
				out = out.Plus(w.info.Capacity)
			}
		}
		return out
	}
	for _, i := range s.fleet.instances {
		if i.State == beryllatch.FleetInstanceUp || i.State == beryllatch.FleetInstanceMoving {
			out = out.Plus(i.Capacity)
		}
	}
	return out
}

// dominantUse returns the part of the fleet's capacity that the team's runs use.
func (s *Scheduler) dominantUse(t *teamUsage) float64 { return berylshare.Dominant(t.booked, s.capacity) }

// shareLimit returns the part of the fleet's capacity up to which the team is within its share; teams without a weight have no limit.
func (s *Scheduler) shareLimit(team string) float64 {
	if t := s.teams[team]; t != nil && s.deployment.Teams[team].Weight > 0 && t.shareLimit > 0 {
		return t.shareLimit
	}
	return math.Inf(1)
}
