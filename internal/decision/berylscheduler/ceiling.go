package berylscheduler

import "github.com/beryllatch/beryllatch"

// underCeiling reports whether the team stays within its ceiling if it uses the given resources in addition.
func (s *Scheduler) underCeiling(team string, more beryllatch.Resources) bool {
	t, ok := s.deployment.Teams[team]
	if !ok {
		return true
	}
	used := s.team(team).used.Plus(s.unknownUse(team)).Plus(more)
	within := func(used, limit int) bool { return limit == 0 || used <= limit }
	return within(used.CPUMilli, t.Ceiling.CPUMilli) && within(used.MemoryMB, t.Ceiling.MemoryMB) &&
		within(used.Accelerators, t.Ceiling.Accelerators)
}

// unknownUse returns the most that a team may use in runs of earlier epochs that this one does not know yet: they are runs of tasks without
// a known one, on unsynced workers.
func (s *Scheduler) unknownUse(team string) beryllatch.Resources {
	need := s.unknownNeeds[team]
	return beryllatch.Resources{
		CPUMilli:     min(need.CPUMilli, s.unsyncedCapacity.CPUMilli),
		MemoryMB:     min(need.MemoryMB, s.unsyncedCapacity.MemoryMB),
		Accelerators: min(need.Accelerators, s.unsyncedCapacity.Accelerators),
	}
}

// updateUnknownUse computes what unknownUse needs.
func (s *Scheduler) updateUnknownUse() {
	clear(s.unknownNeeds)
	s.unsyncedCapacity = beryllatch.Resources{}
	for _, w := range s.sortedWorkers {
		if !w.synced {
			s.unsyncedCapacity = s.unsyncedCapacity.Plus(w.info.Capacity)
		}
	}
	if s.unsyncedCapacity == (beryllatch.Resources{}) {
		return
	}
	if s.unknownNeeds == nil {
		s.unknownNeeds = make(map[string]beryllatch.Resources)
	}
	for _, j := range s.active {
		s.addUnknownNeeds(j)
	}
	for _, j := range s.jobRowsToDelete {
		s.addUnknownNeeds(j)
	}
}

// addUnknownNeeds adds what the tasks of a job of an earlier epoch need that have no known run.
func (s *Scheduler) addUnknownNeeds(j *job) {
	if !j.recovered {
		return
	}
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, st := range o.steps {
			s.unknownNeeds[j.Team] = s.unknownNeeds[j.Team].Plus(st.spec.Needs.Times(st.tasksWaiting))
		}
	}
}
