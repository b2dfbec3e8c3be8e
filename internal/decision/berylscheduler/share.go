package berylscheduler

import "time"

// shareBurst is for how long a team's unused share may be used later.
const shareBurst = 2 * time.Second

// teamShare is what is left of a team's share of jobs.
type teamShare struct {
	jobs       float64
	refilledAt time.Time
}

// takeFromShare takes a job of the team and reports whether it is beyond the team's share: its weight is the number of jobs a
// second that it may count on when all is full. Such jobs go behind those of teams that keep to theirs, so that a burst of one
// team is not served at the cost of the others.
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
