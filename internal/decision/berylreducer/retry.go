package berylreducer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/beryllatch/beryllatch"
)

const (
	// maxFailedAttempts bounds the attempts of one request that a worker did not refuse.
	maxFailedAttempts = 3
	// freeRefusals is the number of workers that may refuse a request before its retries use the budget. The more
	// are free, the longer requests of a full fleet wait rather than being refused at once.
	freeRefusals = 6
	// retryShare is the part of recent requests that may be retried.
	retryShare = 0.1
	// retryFloor is the number of retries in each retryPeriod that is allowed whatever the traffic.
	retryFloor        = 10
	retryPeriod       = 10 * time.Second
	retryTickInterval = time.Second
)

// mayRetry reports whether another attempt cannot run the request twice against the caller's wish.
func (r *Reducer) mayRetry(q *request, e ExecutionEnded) bool {
	if !e.Replayable || q.abandoned || q.failures >= maxFailedAttempts || r.tooLate(q) || q.jobFailures >= jobFaultWorkers {
		return false
	}
	return (q.Idempotent || certainlyNotRun(e.Outcome) || r.faults.retryUnknown) && r.allowed(q)
}

// certainlyNotRun reports whether the attempt surely has not run and will not.
func certainlyNotRun(o beryllatch.ExecutionOutcome) bool {
	switch o {
	case beryllatch.OutcomeNotSent, beryllatch.OutcomeRefused, beryllatch.OutcomeWithdrawn:
		return true
	default:
		return false
	}
}

// freeRetry reports whether the retry needs no token: a refusal costs a worker almost nothing, and the refusing worker
// rests before it is asked again.
func (r *Reducer) freeRetry(q *request, e ExecutionEnded) bool {
	if e.Outcome != beryllatch.OutcomeRefused {
		return false
	}
	q.refusals++
	return q.refusals <= freeRefusals
}

// retryReason names the cause of a retry in the counters.
func retryReason(e ExecutionEnded) beryllatch.Reason {
	if e.Outcome == beryllatch.OutcomeAnswered {
		return beryllatch.ReasonJobFailing
	}
	return e.Reason
}

// retryBudget is a token bucket that is filled by a share of the recent requests.
type retryBudget struct {
	limiter *rate.Limiter
	// recent is the decayed number of requests in the last retryPeriod.
	recent   float64
	arrivals int
	lastTick time.Duration
}

func newRetryBudget() retryBudget {
	perSecond := rate.Limit(retryFloor / retryPeriod.Seconds())
	return retryBudget{limiter: rate.NewLimiter(perSecond, retryFloor)}
}

// bucketTime places the node's monotonic time on the time line that the limiter expects.
func bucketTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func (b *retryBudget) countArrival() { b.arrivals++ }

// take uses one token, if there is one.
func (b *retryBudget) take(now time.Duration) bool { return b.limiter.AllowN(bucketTime(now), 1) }

// tick adapts the bucket to the recent requests once a second.
func (b *retryBudget) tick(now time.Duration) {
	if now-b.lastTick < retryTickInterval {
		return
	}
	b.lastTick = now
	b.recent += float64(b.arrivals) - b.recent/retryPeriod.Seconds()
	b.arrivals = 0
	size := max(retryFloor, retryShare*b.recent)
	b.limiter.SetLimitAt(bucketTime(now), rate.Limit(size/retryPeriod.Seconds()))
	b.limiter.SetBurstAt(bucketTime(now), int(size))
}
