package berylscheduler

import "time"

const (
	// healthWindow is how long a failure counts against a worker.
	healthWindow = 5 * time.Second
	// suspectAfterFailures is the number of different jobs with a failed run on a worker, without a success in between, that
	// makes the worker the more likely cause than the jobs.
	suspectAfterFailures = 3
	// quarantineTime is how long a suspect worker gets no new tasks.
	quarantineTime = 5 * time.Second
	// refusalQuarantineTime is how long a worker gets no new tasks after it has refused a start order or left one unanswered.
	refusalQuarantineTime = 500 * time.Millisecond
)

// health records the failures of a worker, to distinguish a worker that fails every job from a job that fails on every worker.
type health struct {
	failedJobs   []failedJob
	suspectUntil time.Time
}

type failedJob struct {
	job string
	at  time.Time
}

func (h *health) recordSuccess(time.Time) { h.failedJobs = h.failedJobs[:0] }

func (h *health) recordFailure(now time.Time, job string) {
	kept := h.failedJobs[:0]
	for _, f := range h.failedJobs {
		if f.job != job && now.Sub(f.at) < healthWindow {
			kept = append(kept, f)
		}
	}
	kept = append(kept, failedJob{job, now})
	h.failedJobs = kept
	if len(h.failedJobs) >= suspectAfterFailures {
		h.suspectUntil = now.Add(quarantineTime)
	}
}

func (h *health) recordRefusal(now time.Time) {
	h.suspectUntil = laterTime(h.suspectUntil, now.Add(refusalQuarantineTime))
}

func (h *health) recordUnanswered(now time.Time) {
	h.suspectUntil = laterTime(h.suspectUntil, now.Add(refusalQuarantineTime))
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectUntil) }
