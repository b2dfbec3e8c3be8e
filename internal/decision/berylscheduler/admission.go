package berylscheduler

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// maxRefusedJobs limits the refused jobs whose first submission is remembered: about two seconds of the largest expected burst.
	maxRefusedJobs = 8192
	// refusalMemory is how long the first submission of a refused job is remembered after its last one; callers return within seconds.
	refusalMemory = 20 * time.Second
)

// admission is what the scheduler remembers of refused jobs.
type admission struct {
	refused map[string]refusedJob
	// order holds the IDs of refused jobs, the one that was refused first in front.
	order []string
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
// answers is a queue, or a team under its ceiling, whose accepted work already takes longer than that. What is ahead of the job is
// estimated low and the capacity high, so that a job which is only in doubt is accepted.
func (s *Scheduler) loadRefusal(j *beryllatch.Job, q beryllatch.JobQueue) *beryllatch.Refusal {
	if !s.shared || j.Repeat > 0 || s.awaitsEarlierRuns() {
		return nil
	}
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return nil
		}
	}
	path, _ := s.criticalPaths(newJob(*j), 0)
	useful := usefulFactor * jobTarget(q.Slack, path, q.Latency)
	passed := time.Duration(0)
	if first := s.admission.firstSubmission(j.ID); !first.IsZero() {
		passed = s.now.Sub(first)
	}
	left := useful - passed - path
	wait := s.estimateWait(j, q, jobTarget(q.Slack, path, q.Latency)-passed-path)
	if wait <= left {
		return nil
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonQueueFull, RunState: beryllatch.RunStateNotRun, RetryAfter: s.retryAfter(j.Team, wait-max(left, 0)),
		Detail: fmt.Sprintf("the result would be of no use: the job would wait for %s, and may for %s",
			wait.Round(time.Millisecond), max(left, 0).Round(time.Millisecond)),
	}
}

// estimateWait estimates how long a job waits at least until its work starts. slack is for how long it can wait and still meet its
// target: then it starts after the other work in time, else after all accepted work and behind the work in time that goes on to
// arrive.
func (s *Scheduler) estimateWait(j *beryllatch.Job, q beryllatch.JobQueue, slack time.Duration) time.Duration {
	rate := s.reachableRates[q.Pool]
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
	rest := rate - s.arrivingInTime(q.Pool)
	if rest <= 0 {
		return maxWait
	}
	return min(seconds((b.inTime+b.late)/rest), maxWait)
}

// maxWait is the longest wait that is estimated.
const maxWait = time.Minute

func seconds(n float64) time.Duration {
	return time.Duration(min(n, maxWait.Seconds()) * float64(time.Second))
}

// arrivingInTime returns the processor capacity in millicores that the work needs which was accepted for the pool lately.
func (s *Scheduler) arrivingInTime(pool string) float64 { return float64(s.accepting[pool]) }

// retryAfter returns when a refused caller should return, if the capacity is free for it after the given time.
func (s *Scheduler) retryAfter(_ string, _ time.Duration) time.Duration { return outageRetryAfter }
