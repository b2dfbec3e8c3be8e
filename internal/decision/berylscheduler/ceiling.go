package berylscheduler

import "github.com/beryllatch/beryllatch"

// underCeiling reports whether the team stays within its ceiling if it uses the given resources in addition.
func (s *Scheduler) underCeiling(team string, more beryllatch.Resources) bool {
	ceiling := s.ceiling(team)
	used := s.team(team).used.Plus(s.unknownUse(team)).Plus(more)
	within := func(used, limit int) bool { return limit == 0 || used <= limit }
	return within(used.CPUMilli, ceiling.CPUMilli) && within(used.MemoryMB, ceiling.MemoryMB) &&
		within(used.Accelerators, ceiling.Accelerators)
}

// unknownNeeds is what tasks need that may have runs which this epoch doesn't know yet. Fillers use processor time that a worker has given
// to other runs already, so that its capacity doesn't limit them.
type unknownNeeds struct{ fillers, others beryllatch.Resources }

// unknownUse returns the most that a team may use in such runs; they are on unsynced workers.
func (s *Scheduler) unknownUse(team string) beryllatch.Resources {
	needs := s.unknownNeeds[team]
	return needs.fillers.Plus(beryllatch.Resources{
		CPUMilli:     min(needs.others.CPUMilli, s.unsyncedCapacity.CPUMilli),
		MemoryMB:     min(needs.others.MemoryMB, s.unsyncedCapacity.MemoryMB),
		Accelerators: min(needs.others.Accelerators, s.unsyncedCapacity.Accelerators),
	})
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
		s.unknownNeeds = make(map[string]unknownNeeds)
	}
	for _, j := range s.active {
		s.addUnknownNeeds(j)
	}
	for _, j := range s.jobRowsToDelete {
		s.addUnknownNeeds(j)
	}
}

// addUnknownNeeds adds what the tasks of a job need that may have unknown runs. Steps that seem to wait for others count too: the epoch before
// may have started them after ends that it couldn't store.
func (s *Scheduler) addUnknownNeeds(j *job) {
	if s.jobSynced(j) {
		return
	}
	needs := s.unknownNeeds[j.Team]
	add := func(spec *beryllatch.JobStep, tasks int) {
		if spec.Filler {
			needs.fillers = needs.fillers.Plus(spec.Needs.Times(tasks))
		} else {
			needs.others = needs.others.Plus(spec.Needs.Times(tasks))
		}
	}
	for n, p := range j.steps {
		add(&j.Steps[n], (j.due-p.done.Within(0, j.due-1).Len())*j.Steps[n].Count)
	}
	for _, st := range j.open {
		tasks := st.tasksWaiting
		if st.spec.Speculative {
			// A task with a known run may have a second one.
			tasks = st.tasksLeft
		}
		add(st.spec, tasks)
		if st.occurrence < j.due {
			add(st.spec, -st.spec.Count)
		}
	}
	s.unknownNeeds[j.Team] = needs
}
