package berylscheduler

import "time"

const (
	// healthWindow is how far back failures count against a worker.
	healthWindow = 5 * time.Second
	// maxFailedJobs of different jobs, without a success between, are more than bad jobs explain.
	maxFailedJobs = 3
	// quarantineTime keeps a suspect worker without new tasks.
	quarantineTime = 5 * time.Second
	// refusalQuarantineTime keeps a worker that refuses without new tasks.
	refusalQuarantineTime = 500 * time.Millisecond
)

// health tells workers that fail everything from jobs that fail everywhere.
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
	if len(h.failedJobs) >= maxFailedJobs {
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
