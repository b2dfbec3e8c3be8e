package berylscheduler

import (
	"fmt"

	"github.com/beryllatch/beryllatch"
)

// submit accepts or refuses a job. The caller of an accepted job is answered once it is stored.
func (s *Scheduler) submit(e JobSubmitted) {
	if j := s.jobs[e.Job.ID]; j != nil {
		// A repeated submission only needs the job to be stored: change 1 is its acceptance.
		s.answerWhenStored(j, e.Call, 1)
		return
	}
	if err := s.admit(&e.Job); err != nil {
		s.recordRefused(&e.Job, err)
		s.emit(AnswerCall{e.Call, err})
		s.emit(Decision{Name: "job_refused", Job: e.Job.ID, Detail: err.Error()})
		return
	}
	e.Job.Accepted = s.now
	j := newJob(e.Job)
	j.queue = s.deployment.Queues[j.Queue]
	j.acceptedQueue, j.acceptedCeiling = j.queue, s.ceiling(j.Team)
	j.exceedsShare = s.takeFromShare(j.Team)
	if s.shared && j.Repeat == 0 {
		j.firstSubmitted = s.admission.firstSubmission(j.ID)
	}
	s.jobs[j.ID] = j
	s.setMemory(j, estimateMemory(&j.Job))
	s.active = append(s.active, j)
	s.openSteps(j)
	s.recordArrival(j)
	s.addToBacklog(j)
	// The call is added before the change, so that the change is stored with those that callers wait for.
	s.answerWhenStored(j, e.Call, j.rows.latestChange+1)
	s.markChanged(j)
}

// answerWhenStored answers the call once the rows hold the change.
func (s *Scheduler) answerWhenStored(j *job, call, change uint64) {
	if j.rows.storedChange >= change {
		s.emit(AnswerCall{Call: call})
		return
	}
	j.rows.waitingCalls = append(j.rows.waitingCalls, waitingCall{call, change})
}

// admit returns a *beryllatch.Refusal if the job cannot be accepted.
func (s *Scheduler) admit(j *beryllatch.Job) error {
	if s.deployment == nil {
		return &beryllatch.Refusal{Reason: beryllatch.ReasonNodeStale, RunState: beryllatch.RunStateNotRun, RetryAfter: outageRetryAfter}
	}
	q, ok := s.deployment.Queues[j.Queue]
	if !ok {
		return &beryllatch.Refusal{
			Reason: beryllatch.ReasonNodeStale, RunState: beryllatch.RunStateNotRun, RetryAfter: s.outageDelay(j),
			Detail: fmt.Sprintf("queue %q is not in version %d of the configuration", j.Queue, s.deployment.Version),
		}
	}
	// A client account may have as many unfinished jobs as it leaves to others, which is no limit while there are few.
	if left := maxActiveJobs - len(s.active); left <= len(s.active) && left <= s.activeOf(j.Team) {
		return &beryllatch.Refusal{
			Reason: beryllatch.ReasonQueueFull, RunState: beryllatch.RunStateNotRun, RetryAfter: s.outageDelay(j),
			Detail: fmt.Sprintf("%d jobs are unfinished, %d of them of the client account", len(s.active), s.activeOf(j.Team)),
		}
	}
	// During an outage, one submission after each pause is accepted, to find out whether the store is back.
	n := &s.journal
	if n.unavailable(s.now) && (len(n.batches) > 0 || s.now.Before(n.retryAt)) {
		return s.notStoredRefusal(j)
	}
	if size := len(encodeJob(&job{Job: *j, acceptedQueue: q, acceptedCeiling: s.ceiling(j.Team)})); s.Limits.RowBytes > 0 && size > s.Limits.RowBytes {
		return &beryllatch.Refusal{
			Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun,
			Detail: fmt.Sprintf("the job takes %d bytes; %d are allowed", size, s.Limits.RowBytes),
		}
	}
	if f := s.memoryRefusal(j); f != nil {
		return f
	}
	if f := s.loadRefusal(j, q); f != nil {
		return f
	}
	return nil
}

// activeOf returns the number of unfinished jobs of a team.
func (s *Scheduler) activeOf(team string) int {
	n := 0
	for _, j := range s.active {
		if j.Team == team {
			n++
		}
	}
	return n
}

// cancel ends a job. The caller is answered once that is stored.
func (s *Scheduler) cancel(e CancelRequested) {
	j := s.jobs[e.ID]
	if j == nil {
		s.emit(AnswerCall{e.Call, &beryllatch.UnknownJobError{ID: e.ID}})
		return
	}
	if j.state.Final() {
		s.answerWhenStored(j, e.Call, j.rows.latestChange)
		return
	}
	s.answerWhenStored(j, e.Call, j.rows.latestChange+1)
	s.endJob(j, beryllatch.JobCancelled, "")
}
