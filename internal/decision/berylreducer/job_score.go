package berylreducer

import (
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// jobFaultWorkers is the number of distinct workers on which a job must fail before the failures are attributed to the
	// job rather than to the workers.
	jobFaultWorkers = 3
	// jobParkTime is how long such a job is parked: requests for it are refused on arrival.
	jobParkTime = 60 * time.Second
	// jobScoreTTL is how long a failure counts against a job.
	jobScoreTTL = 60 * time.Second
	// maxJobScores bounds the number of jobs whose failures are remembered; beyond it the oldest score is dropped.
	maxJobScores = 1024
)

// jobScore holds the recent failures of one job.
type jobScore struct {
	fingerprint string
	// workers holds the ids of the distinct workers on which the job has failed since it was last parked.
	workers     []string
	parkedUntil time.Duration
	lastFailure time.Duration
}

// jobScores holds the scores of the failing jobs. order sorts them by their last failure, the oldest first.
type jobScores struct {
	byFingerprint map[string]*jobScore
	order         []*jobScore
}

// fingerprint identifies the job of a request. It is empty if the request has neither a body hash nor an idempotency key.
func (q *request) fingerprint() string {
	key := q.BodyHash
	if key == "" {
		key = q.IdempotencyKey
	}
	if key == "" {
		return ""
	}
	return strings.Join([]string{q.team, q.Queue, key}, "\x00")
}

// recordJobOutcome updates the failures of the job, which are counted separately from those of the worker.
func (r *Reducer) recordJobOutcome(q *request, w *workerState, e ExecutionEnded) {
	succeeded := e.Outcome == beryllatch.OutcomeAnswered && !e.Failed
	if succeeded && len(r.jobs.order) == 0 {
		return
	}
	f := q.fingerprint()
	switch {
	case succeeded:
		r.jobs.forget(f)
		return
	case e.Outcome != beryllatch.OutcomeAnswered && e.Outcome != beryllatch.OutcomeUnknown, q.abandoned:
		return
	}
	if !slices.Contains(q.triedWorkers, w.inst.ID) {
		q.jobFailures++
	}
	if f != "" && r.jobs.fail(f, w.inst.ID, r.now.Mono) {
		r.count("job_parked")
	}
}

// jobRefusal returns the refusal of a request for a parked job, or nil.
func (r *Reducer) jobRefusal(q *request) *refusal {
	if len(r.jobs.order) == 0 {
		return nil
	}
	s := r.jobs.byFingerprint[q.fingerprint()]
	if s == nil || r.now.Mono >= s.parkedUntil {
		return nil
	}
	return &refusal{
		reason: beryllatch.ReasonJobFailing, detail: "the job failed on several workers",
		retryAfter: s.parkedUntil - r.now.Mono,
	}
}

func (j *jobScores) forget(fingerprint string) {
	if s := j.byFingerprint[fingerprint]; s != nil {
		delete(j.byFingerprint, fingerprint)
		j.order = slices.DeleteFunc(j.order, func(x *jobScore) bool { return x == s })
	}
}

// fail records a failure and reports whether it parks the job.
func (j *jobScores) fail(fingerprint, worker string, now time.Duration) bool {
	s := j.byFingerprint[fingerprint]
	if s == nil {
		s = &jobScore{fingerprint: fingerprint}
	}
	j.forget(fingerprint)
	j.byFingerprint[fingerprint] = s
	j.order = append(j.order, s)
	s.lastFailure = now
	if !slices.Contains(s.workers, worker) {
		s.workers = append(s.workers, worker)
	}
	if len(j.order) > maxJobScores {
		j.dropOldest()
	}
	if len(s.workers) < jobFaultWorkers {
		return false
	}
	s.workers = nil
	s.parkedUntil = now + jobParkTime
	return true
}

func (j *jobScores) dropOldest() {
	delete(j.byFingerprint, j.order[0].fingerprint)
	j.order = slices.Delete(j.order, 0, 1)
}

// tickJobs drops the scores of jobs without a recent failure.
func (r *Reducer) tickJobs() {
	j := &r.jobs
	for len(j.order) > 0 && r.now.Mono-j.order[0].lastFailure >= jobScoreTTL {
		j.dropOldest()
	}
}
