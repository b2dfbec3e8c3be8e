package berylscheduler

import (
	"cmp"
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
func (s *Scheduler) updateShares(waiting []*candidate) {
	s.capacity = s.fleetCapacity()
	for _, t := range s.sortedTeams {
		t.demand, t.shareLimit = t.booked, math.Inf(1)
	}
	for _, c := range waiting {
		if !c.late {
			c.team.demand = c.team.demand.Plus(c.waitingCapacity())
		}
	}
	var asking []*teamUsage
	var accounts []berylshare.Account
	for _, t := range s.sortedTeams {
		if t.weight > 0 && t.demand != (beryllatch.Resources{}) {
			asking = append(asking, t)
			accounts = append(accounts, berylshare.Account{Weight: t.weight, Demand: t.demand})
		}
	}
	for i, limit := range berylshare.Divide(s.capacity, accounts) {
		asking[i].shareLimit = limit
	}
}

// assignShares sets the class of the waiting steps in time, which come in the order of time, by the shares of their teams. It returns the
// steps in the order of their classes.
func (s *Scheduler) assignShares(waiting []*candidate) []*candidate {
	for _, t := range s.sortedTeams {
		t.usage = berylshare.Dominant(t.booked, s.capacity)
	}
	for _, c := range waiting {
		st := c.step
		if c.late || st.spec.LongRunning {
			continue
		}
		if c.team.usage >= c.team.shareLimit || c.exceedsShare {
			st.class = classAboveShare
		}
		c.team.usage += berylshare.Dominant(c.waitingCapacity(), s.capacity)
		c.class = st.class
	}
	for _, t := range s.sortedTeams {
		t.aboveShare = t.usage >= t.shareLimit
	}
	slices.SortStableFunc(waiting, func(a, b *candidate) int { return cmp.Or(a.priority-b.priority, cmp.Compare(a.class, b.class)) })
	return waiting
}

// waitingCapacity returns the capacity that the waiting tasks of the step need together.
func (c *candidate) waitingCapacity() beryllatch.Resources {
	return c.step.spec.ReservedCapacity().Times(c.step.tasksWaiting)
}

// fleetCapacity returns the capacity of all instances that serve pools or can be moved to them, or of all workers if the platform
// lists no instances. Workers that don't answer contribute none.
func (s *Scheduler) fleetCapacity() beryllatch.Resources {
	var out beryllatch.Resources
	if len(s.fleet.instances) == 0 {
		for _, w := range s.sortedWorkers {
			if w.registered && w.failedHolds == 0 && s.inService(w) {
				out = out.Plus(w.info.Capacity)
			}
		}
		return out
	}
	for name, i := range s.fleet.instances {
		if i.State != beryllatch.FleetInstanceUp && i.State != beryllatch.FleetInstanceMoving || s.operations.Evacuated[i.DataCentre] {
			continue
		}
		if w := s.workerOn(name); w == nil || w.failedHolds == 0 {
			out = out.Plus(i.Capacity)
		}
	}
	return out
}
