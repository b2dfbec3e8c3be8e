package berylscheduler

import (
	"fmt"
	"maps"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// changeDeployment adopts a configuration. A job that was accepted goes on, whatever the configuration says later: what is no longer
// in it keeps the settings of the last configuration that had it.
func (s *Scheduler) changeDeployment(d *beryllatch.Deployment) {
	s.deployment = d
	s.shared = d.HasShares()
	for name, t := range d.Teams {
		team := s.team(name)
		team.lastCeiling, team.weight = t.Ceiling, t.Weight
	}
	withoutQueue, withoutPool := make(map[string]int), make(map[string]int)
	for _, j := range s.active {
		if q, ok := d.Queues[j.Queue]; ok {
			j.queue = q
		} else {
			withoutQueue[j.Queue]++
		}
		if _, ok := d.Pools[j.queue.Pool]; !ok {
			withoutPool[j.queue.Pool]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(withoutQueue)) {
		s.emit(Decision{Name: "queue_removed", Detail: fmt.Sprintf(
			"%d unfinished jobs go on with the last settings of queue %q, which version %d does not have", withoutQueue[name], name, d.Version,
		)})
	}
	for _, name := range slices.Sorted(maps.Keys(withoutPool)) {
		s.emit(Decision{Name: "pool_removed", Detail: fmt.Sprintf(
			"%d unfinished jobs depend on the workers that are left in pool %q, which version %d does not have", withoutPool[name], name, d.Version,
		)})
	}
	s.placementDue = true
}

// ceiling returns the ceiling of a team; a team that has been removed keeps its last one.
func (s *Scheduler) ceiling(team string) beryllatch.Resources {
	if t, ok := s.deployment.Teams[team]; ok {
		return t.Ceiling
	}
	return s.team(team).lastCeiling
}

// countsFor reports whether callers of the queue find the job there. If the job's queue has been removed, they do so in the one that now has
// its host and prefix.
func (s *Scheduler) countsFor(j *job, queue string) bool {
	if j.Queue == queue || s.deployment == nil {
		return j.Queue == queue
	}
	if _, ok := s.deployment.Queues[j.Queue]; ok {
		return false
	}
	q, ok := s.deployment.Queues[queue]
	return ok && q.Host == j.queue.Host && q.Prefix == j.queue.Prefix
}
