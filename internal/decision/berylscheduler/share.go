package berylscheduler

import "time"

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
