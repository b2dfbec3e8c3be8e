package berylscheduler

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylretry"
)

const (
	// maxRefusedJobs limits the refused jobs whose first submission is remembered: about two seconds of the largest expected burst.
	maxRefusedJobs = 8192
	// refusalMemory is how long the first submission of a refused job is remembered after its last one; callers return within seconds.
	refusalMemory = 20 * time.Second
	// maxEstimateAge is for how long the backlogs of the last tick count; ticks come ten times a second. After a pause of the process, or
	// a time without weights in the configuration, the load may be over.
	maxEstimateAge = time.Second
)

// admission is what the scheduler remembers of refused jobs.
type admission struct {
	refused map[string]refusedJob
	// order holds the IDs of refused jobs, the one that was refused first in front.
	order []string
	// returns plans when refused callers return.
	returns berylretry.Planner
}

// refusedJob is a job that was submitted and refused.
type refusedJob struct{ first, last time.Time }

// remember records the refusal of a job, whose target counts from its first submission if it returns.
func (a *admission) remember(id string, now time.Time) {
	if a.refused == nil {
		a.refused = make(map[string]refusedJob)
	}
	r, ok := a.refused[id]
	if !ok {
		r.first = now
		a.order = append(a.order, id)
	}
	r.last = now
	a.refused[id] = r
	for len(a.order) > maxRefusedJobs || len(a.order) > 0 && now.Sub(a.refused[a.order[0]].last) > refusalMemory {
		delete(a.refused, a.order[0])
		a.order = a.order[1:]
	}
}

// firstSubmission returns when a job was first submitted, the zero time if it wasn't refused before.
func (a *admission) firstSubmission(id string) time.Time { return a.refused[id].first }

// loadRefusal returns the refusal of a job that can't be done before its result is of no use to the caller, or nil. The load that it
// answers is a queue whose accepted work already takes longer than that. What is ahead of the job is estimated low and the capacity high,
// so that a job which is only in doubt is accepted. The processor time that long-running steps and fillers wait for isn't known.
func (s *Scheduler) loadRefusal(j *beryllatch.Job, q beryllatch.JobQueue) *beryllatch.Refusal {
	if !s.shared || j.Repeat > 0 || s.awaitsEarlierRuns() || s.now.Sub(s.classifiedAt) > maxEstimateAge {
		return nil
	}
	for i := range j.Steps {
		if j.Steps[i].LongRunning || j.Steps[i].Filler {
			return nil
		}
	}
	path, _ := s.criticalPaths(newJob(*j), 0)
	target := jobTarget(q.Slack, path, q.Latency)
	passed := time.Duration(0)
	if first := s.admission.firstSubmission(j.ID); !first.IsZero() {
		passed = s.now.Sub(first)
	}
	slack := target - path
	// A caller that returns after all of that time may still want the result; it is refused only while other work waits.
	left := max(usefulFactor*target-passed-path, 0)
	wait := s.estimateWait(j, q, slack-marginOf(slack)-passed)
	if wait <= left {
		return nil
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonQueueFull, RunState: beryllatch.RunStateNotRun, RetryAfter: s.bookReturn(j, wait-left),
		Detail: fmt.Sprintf("the result would be of no use: the job would wait for %s, and may for %s",
			wait.Round(time.Millisecond), left.Round(time.Millisecond)),
	}
}

// estimateWait estimates how long a job waits at least until its work starts. slack is for how long it can wait and still meet its
// target: then it starts after the other work in time, else after all accepted work and behind the work in time that goes on to
// arrive. A load above the pool's capacity is expected to go on for as long as it has lasted, and at least for longArrivalWindow.
func (s *Scheduler) estimateWait(j *beryllatch.Job, q beryllatch.JobQueue, slack time.Duration) time.Duration {
	rate := s.reachableRate(q.Pool)
	if rate <= 0 {
		return 0
	}
	b := s.backlogs[q.Pool]
	inTime := b.inTime
	if !s.team(j.Team).aboveShare {
		inTime = b.inShare
	}
	if wait := seconds(inTime / rate); wait <= slack {
		return wait
	}
	ahead := b.inTime + b.late
	if since, ok := s.overloadedSince[q.Pool]; ok {
		ahead += float64(s.offered[q.Pool]) * (longArrivalWindow + s.now.Sub(since)).Seconds()
	}
	return seconds(ahead / rate)
}

// reachableRate returns the processor capacity in millicores that the pool has or could get.
func (s *Scheduler) reachableRate(pool string) float64 {
	return max(s.reachableRates[pool], s.usableRates[pool])
}

// updateOverload records since when more work is submitted for each pool than it could serve.
func (s *Scheduler) updateOverload() {
	if s.overloadedSince == nil {
		s.overloadedSince = make(map[string]time.Time)
	}
	for pool := range s.overloadedSince {
		if float64(s.offered[pool]) <= s.reachableRate(pool) {
			delete(s.overloadedSince, pool)
		}
	}
	for pool, cpu := range s.offered {
		if _, ok := s.overloadedSince[pool]; !ok && float64(cpu) > s.reachableRate(pool) {
			s.overloadedSince[pool] = s.now
		}
	}
}

// maxWait is the longest wait that is estimated.
const maxWait = time.Minute

func seconds(n float64) time.Duration {
	return time.Duration(min(n, maxWait.Seconds()) * float64(time.Second))
}

// The first delays of callers that are refused because of an outage of the store. A short first one finds the end of a short outage
// within the target; the next ones are longer, since callers have few retries.
const (
	firstOutageDelay = time.Second
	nextOutageDelay  = 2 * time.Second
)

// outageDelay returns when a caller should return that is refused since the job can't be stored now.
func (s *Scheduler) outageDelay(j *beryllatch.Job) time.Duration {
	if !s.shared {
		return outageRetryAfter
	}
	delay := firstOutageDelay
	if _, refused := s.admission.refused[j.ID]; refused {
		delay = nextOutageDelay
	}
	return s.bookReturn(j, delay)
}

// bookReturn returns when a refused caller should return, if there is capacity for it after the delay: callers that return together
// would only be refused together again.
func (s *Scheduler) bookReturn(j *beryllatch.Job, delay time.Duration) time.Duration {
	room := berylretry.Room{From: s.now.Add(delay)}
	if s.meanWork > 0 {
		room.Rate = loadTarget * float64(s.capacity.CPUMilli) / s.meanWork
	}
	return s.admission.returns.Book(s.now, room, s.team(j.Team).aboveShare)
}
