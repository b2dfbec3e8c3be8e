package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
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

// timing returns the timing of a step, which is kept for timingValidity.
func (s *Scheduler) timing(st *stepState) stepTiming {
	if t := st.timing; s.shared && !t.computedAt.IsZero() && s.now.Sub(t.computedAt) < timingValidity {
		return t
	}
	j := st.job
	total, rest := s.criticalPaths(j, st.occurrence)
	target := jobTarget(j.queue.Slack, total, j.queue.Latency)
	from := j.dueAt(st.occurrence)
	if !j.firstSubmitted.IsZero() {
		from = j.firstSubmitted
	}
	st.timing = stepTiming{
		computedAt: s.now, startBy: from.Add(target - rest), uselessAfter: from.Add(usefulFactor*target - rest), slack: target - total,
	}
	return st.timing
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
	case s.now.After(st.timing.uselessAfter):
		return classUseless
	}
	return classLate
}

// compareWaiting orders waiting steps: by the queue's priority, then by class, then those of jobs that have begun, whose work would
// be lost if the rest came too late, then by latest start.
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
// deferred, so that the others start well before.
func (s *Scheduler) classify() {
	if !s.shared {
		return
	}
	waiting := s.waitingCandidates()
	usage := make(map[string]float64, len(s.teams))
	for name, t := range s.teams {
		usage[name] = s.dominantUse(t)
	}
	rates := s.poolRates()
	s.usableRates = rates
	s.offered = s.offeredCPU()
	s.updateOverload()
	ahead := make(map[string]float64, len(rates))
	s.lastBacklogs, s.backlogs = s.backlogs, make(map[string]poolBacklog, len(rates))
	for i := range waiting {
		c := &waiting[i]
		st := c.step
		team := st.job.Team
		if c.late || st.spec.LongRunning {
			continue
		}
		if usage[team] >= s.shareLimit(team) || c.exceedsShare {
			st.class = classAboveShare
		}
		usage[team] += berylshare.Dominant(st.spec.ReservedCapacity().Times(st.tasksWaiting), s.capacity)
		c.class = st.class
	}
	for name, t := range s.teams {
		t.aboveShare = usage[name] >= s.shareLimit(name)
	}
	slices.SortStableFunc(waiting, compareWaiting)
	for _, c := range waiting {
		st := c.step
		if st.spec.LongRunning {
			continue
		}
		b := s.backlogs[c.pool]
		work := s.remainingWork(st)
		if st.job.Repeat == 0 && st.job.backlogAt != s.now {
			st.job.backlogAt = s.now
			work += s.laterWork(st.job)
		}
		if c.late && s.takeOverdue(c, work, rates[c.pool]) {
			st.overdue = true
		}
		if c.class >= classLate {
			b.late += work
			s.backlogs[c.pool] = b
			continue
		}
		wait := maxWait
		if r := s.planningRate(c.pool, st.timing.slack); r > 0 {
			wait = seconds(ahead[c.pool] / r)
		}
		limit := c.startBy.Sub(s.now)
		if c.unplanned {
			limit -= marginOf(st.timing.slack)
		}
		if !c.late && !c.begun && wait > limit {
			st.class = classDeferred
		} else {
			ahead[c.pool] += work
		}
		b.inTime += work
		if st.class == classInShare {
			b.inShare += work
			b.firstCPU += st.spec.ReservedCapacity().CPUMilli * st.tasksWaiting
		}
		s.backlogs[c.pool] = b
	}
}

// takeOverdue reports whether a late step has waited for maxLateWait and its pool has capacity for such steps, and takes the capacity.
func (s *Scheduler) takeOverdue(c candidate, work, rate float64) bool {
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

// waitingCandidates returns all waiting steps of stored jobs, in the order in which they would be placed by time alone.
func (s *Scheduler) waitingCandidates() []candidate {
	var out []candidate
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		for st := range j.waitingSteps {
			unplanned := !st.classified || st.class == classDeferred
			st.class, st.classified = classInShare, true
			c := s.candidate(j.queue, st)
			c.unplanned = unplanned
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, compareWaiting)
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

// planningRate returns the processor capacity in millicores by which work is deferred. While a pool is overloaded it is the capacity of
// the workers that are usable now. Otherwise instances that are on their way count too: at the start of a turn, work waits for them
// rather than behind other work.
func (s *Scheduler) planningRate(pool string, slack time.Duration) float64 {
	reachable := s.reachableRate(pool)
	if _, overloaded := s.overloadedSince[pool]; overloaded || s.lastBacklogs[pool].inTime > reachable*slack.Seconds() {
		return s.usableRates[pool]
	}
	return reachable
}
