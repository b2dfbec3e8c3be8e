package berylscheduler

import "time"

const (
	// healthWindow is how far back failures count against a worker.
	healthWindow = 5 * time.Second
	// suspectFailures of different jobs, without a success between, are more than bad jobs explain.
	suspectFailures = 3
	// quarantine keeps a suspect worker without new tasks.
	quarantine = 5 * time.Second
	// refusalPause keeps a worker that refuses without new tasks.
	refusalPause = 500 * time.Millisecond
)

// health tells workers that fail everything from jobs that fail everywhere.
type health struct {
	failedJobs []failedJob
	until      time.Time
}

type failedJob struct {
	job string
	at  time.Time
}

func (h *health) succeed(time.Time) { h.failedJobs = h.failedJobs[:0] }

func (h *health) fail(now time.Time, job string) {
	kept := h.failedJobs[:0]
	for _, f := range h.failedJobs {
		if f.job != job && now.Sub(f.at) < healthWindow {
			kept = append(kept, f)
		}
	}
	kept = append(kept, failedJob{job, now})
	h.failedJobs = kept
	if len(h.failedJobs) >= suspectFailures {
		h.until = now.Add(quarantine)
	}
}

func (h *health) refuse(now time.Time) { h.until = later(h.until, now.Add(refusalPause)) }

func (h *health) unanswered(now time.Time) { h.until = later(h.until, now.Add(refusalPause)) }

func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }
