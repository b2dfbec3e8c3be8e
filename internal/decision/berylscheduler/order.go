package berylscheduler

import (
	"cmp"
	"slices"
	"time"
)

// usefulFactor is by how many times its target a job may be late before its result is of no use to the caller.
const usefulFactor = 3

const (
	// timingValidity is how long the timing of a step is kept: learned durations change slowly.
	timingValidity = 200 * time.Millisecond
	// slackMargin is the part of a job's slack that is left for wrong estimates and the waits of later steps.
	slackMargin = 0.25
	// maxLateWait is how long late work waits behind all work in time. After that it gets overdueShare of its pool's capacity.
	maxLateWait  = 20 * time.Second
	overdueShare = 0.125
)

// stepClass is the first sort key of waiting steps of the same priority.
type stepClass int

const (
	// classInShare is work that can meet its target, of a team within its share of the fleet.
	classInShare stepClass = iota
	// classAboveShare is work that can meet its target, of a team above its share.
	classAboveShare
	// classDeferred is work that can't meet its target behind the work ahead of it.
	classDeferred
	classLate
	// classUseless is work whose result comes too late to be of use. It still runs, as it was accepted.
	classUseless
)

// stepTiming is when a step must start to be of use.
type stepTiming struct {
	computedAt time.Time
	// startBy is the latest start that meets the job's target, uselessAfter the latest one whose result is of any use.
	startBy, uselessAfter time.Time
	// slack is the part of the job's target that isn't work.
	slack time.Duration
}

// timing returns the timing of a step, which is kept for timingValidity. All steps of an occurrence have the same one, so that a job that
// isn't repeated needs it once.
func (s *Scheduler) timing(st *stepState) *stepTiming {
	j := st.job
	kept := &st.timing
	if j.Repeat == 0 {
		kept = &j.timing
	}
	if s.shared && !kept.computedAt.IsZero() && s.now.Sub(kept.computedAt) < timingValidity {
		return kept
	}
	total, rest := s.criticalPaths(j, st.occurrence)
	target := jobTarget(j.queue.Slack, total, j.queue.Latency)
	from := j.dueAt(st.occurrence)
	if !j.firstSubmitted.IsZero() {
		from = j.firstSubmitted
	}
	*kept = stepTiming{
		computedAt: s.now, startBy: from.Add(target - rest), uselessAfter: from.Add(usefulFactor*target - rest), slack: target - total,
	}
	return kept
}

// jobTarget returns the time in which a job of the queue should be done.
func jobTarget(slack float64, path, latency time.Duration) time.Duration {
	return time.Duration(slack*float64(path)) + latency
}

// marginOf returns the part of a job's slack that is left for wrong estimates and the waits of later steps.
func marginOf(slack time.Duration) time.Duration { return time.Duration(slackMargin * float64(slack)) }

// classOf returns the class of a candidate: by the time now, and for work in time by the last tick.
func (s *Scheduler) classOf(c candidate) stepClass {
	switch st := c.step; {
	case st.spec.LongRunning:
		return classInShare
	case !c.late && !st.classified && s.team(st.job.Team).aboveShare:
		return classAboveShare
	case !c.late:
		return st.class
	case st.overdue:
		return classInShare
	case s.now.After(c.timing.uselessAfter):
		return classUseless
	}
	return classLate
}

// compareWaiting orders waiting steps: by the queue's priority, then by class, then those of jobs within the rate of their team first, then
// by latest start.
func compareWaiting(a, b candidate) int {
	return cmp.Or(
		a.priority-b.priority, cmp.Compare(a.class, b.class), falseFirst(a.exceedsShare, b.exceedsShare),
		a.startBy.Compare(b.startBy),
	)
}

// poolBacklog is the work that waits for a pool.
type poolBacklog struct {
	// inTime and late are work in millicore-seconds; inTime is that of the classes before classLate.
	inTime, late float64
	// inShare is the part of inTime that belongs to classInShare.
	inShare float64
	// firstCPU is what the waiting tasks of classInShare need at the same time, in millicores.
	firstCPU int
}

// classify sets the class of all waiting steps and counts the backlog of each pool. The load that it answers is a pool for which more work
// in time waits than it can serve: in the order of the latest starts each job would start at the last possible moment, and end late
// for any small delay. Steps that can't meet their target behind the work ahead of them, with a margin when that is first decided, are
// deferred, so that the others start well before. Steps of jobs that have begun are not, since the work done so far would be lost.
func (s *Scheduler) classify() {
	if !s.shared {
		s.waiting = nil
		return
	}
	s.classifiedAt = s.now
	waiting := s.waitingCandidates()
	s.updateShares(waiting)
	waiting = s.assignShares(waiting)
	s.usableRates = s.poolRates()
	s.offered = s.offeredCPU()
	s.updateOverload()
	s.backlogs = make(map[string]poolBacklog, len(s.usableRates))
	plans := make(map[string]*poolPlan, len(s.usableRates))
	for _, c := range waiting {
		if c.step.spec.LongRunning {
			continue
		}
		p := plans[c.pool]
		if p == nil {
			p = &poolPlan{}
			plans[c.pool] = p
		}
		s.planStep(c, p)
	}
	for pool, p := range plans {
		s.backlogs[pool] = p.backlog
	}
}

// poolPlan is what classify has counted for a pool.
type poolPlan struct {
	backlog poolBacklog
	// ahead is the work of steps that aren't deferred, in millicore-seconds.
	ahead float64
}

// planStep counts a step in its pool's plan, and defers it if it can't meet its target behind the steps that were counted before.
func (s *Scheduler) planStep(c *candidate, p *poolPlan) {
	st := c.step
	work := s.remainingWork(st)
	if st.job.Repeat == 0 && st.job.backlogAt != s.now {
		st.job.backlogAt = s.now
		work += s.laterWork(st.job)
	}
	if c.late && s.takeOverdue(c, work, s.usableRates[c.pool]) {
		st.overdue = true
	}
	if c.class >= classLate {
		p.backlog.late += work
		return
	}
	wait := maxWait
	if r := s.usableRates[c.pool]; r > 0 {
		wait = seconds(p.ahead / r)
	}
	limit := c.startBy.Sub(s.now)
	if c.unplanned {
		limit -= marginOf(c.timing.slack)
	}
	if !c.late && !c.begun && wait > limit {
		st.class = classDeferred
	} else {
		p.ahead += work
	}
	p.backlog.inTime += work
	if st.class == classInShare {
		p.backlog.inShare += work
		p.backlog.firstCPU += st.spec.ReservedCapacity().CPUMilli * st.tasksWaiting
	}
}

// takeOverdue reports whether a late step has waited for maxLateWait and its pool has capacity for such steps, and takes the capacity.
func (s *Scheduler) takeOverdue(c *candidate, work, rate float64) bool {
	if s.now.Sub(laterTime(c.startBy, c.step.openedAt)) <= maxLateWait || c.step.overdue {
		return false
	}
	a := s.overdue[c.pool]
	a.work = min(a.work+overdueShare*rate*s.now.Sub(a.at).Seconds(), overdueShare*rate)
	a.at = s.now
	taken := a.work > 0
	if taken {
		a.work -= work
	}
	if s.overdue == nil {
		s.overdue = make(map[string]overdueAllowance)
	}
	s.overdue[c.pool] = a
	return taken
}

// overdueAllowance is the work in millicore-seconds that overdue steps of a pool may still do.
type overdueAllowance struct {
	work float64
	at   time.Time
}

// addToBacklog counts a job that was accepted since the last tick.
func (s *Scheduler) addToBacklog(j *job) {
	if !s.shared || j.Repeat > 0 {
		return
	}
	if s.backlogs == nil {
		s.backlogs = make(map[string]poolBacklog)
	}
	b, work := s.backlogs[j.queue.Pool], s.jobWork(j)
	b.inTime += work
	if !s.team(j.Team).aboveShare {
		b.inShare += work
	}
	s.backlogs[j.queue.Pool] = b
}

// waitingCandidates returns all waiting steps of stored jobs, in the order in which they would be placed by time alone. The result is valid
// until the next call.
func (s *Scheduler) waitingCandidates() []*candidate {
	clear(s.waiting)
	s.waiting = s.waiting[:0]
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		team := s.team(j.Team)
		for st := range j.waitingSteps {
			unplanned := !st.classified || st.class == classDeferred
			st.class, st.classified = classInShare, true
			c := s.candidate(j.queue, st)
			c.unplanned, c.team = unplanned, team
			s.waiting = append(s.waiting, c)
		}
	}
	out := make([]*candidate, len(s.waiting))
	for i := range s.waiting {
		out[i] = &s.waiting[i]
	}
	slices.SortStableFunc(out, func(a, b *candidate) int { return compareWaiting(*a, *b) })
	return out
}

// remainingWork returns the work of a step's waiting tasks in millicore-seconds.
func (s *Scheduler) remainingWork(st *stepState) float64 {
	return float64(st.spec.ReservedCapacity().CPUMilli*st.tasksWaiting) * s.expectedDuration(st.job, st.spec).Seconds()
}

// laterWork returns the work of the steps that wait for others, in millicore-seconds.
func (s *Scheduler) laterWork(j *job) float64 {
	work := 0.0
	for n := range j.Steps {
		at := stepKey{0, n}
		if !j.isDone(at) && !j.isReady(at) {
			work += s.stepWork(j, &j.Steps[n])
		}
	}
	return work
}

// poolRates returns the processor capacity of each pool's usable workers that short tasks can use, in millicores.
func (s *Scheduler) poolRates() map[string]float64 {
	out := make(map[string]float64)
	for _, w := range s.sortedWorkers {
		if s.usable(w) {
			out[w.info.Pool] += loadTarget * float64(w.info.Capacity.CPUMilli-w.longRunningUse.CPUMilli)
		}
	}
	return out
}
