package berylreducer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/beryllatch/beryllatch"
)

const (
	// maxFailedAttempts is the largest number of attempts of one request, not counting those that a worker refused.
	maxFailedAttempts = 3
	// freeRefusals is the number of refusals of one request whose retries don't use the retry budget. With a higher number,
	// requests to a full fleet wait longer instead of being refused immediately.
	freeRefusals = 6
	// retryShare is the fraction of the recent requests that may be retried.
	retryShare = 0.1
	// retryFloor is the number of retries in each retryPeriod that are always allowed, even with little traffic.
	retryFloor  = 10
	retryPeriod = 10 * time.Second
	// retryTickInterval is the time between two adjustments of the budget.
	retryTickInterval = time.Second
)

// mayRetry reports whether the request may have another attempt: its body can be sent again, it can still be answered in
// time, and it is idempotent or has certainly not run in this attempt.
func (r *Reducer) mayRetry(q *request, e ExecutionEnded) bool {
	if !e.Replayable || q.abandoned || q.failures >= maxFailedAttempts || r.tooLate(q) || q.jobFailures >= jobFaultWorkers {
		return false
	}
	return (q.Idempotent || certainlyNotRun(e.Outcome) || r.faults.retryUnknown) && r.allowed(q)
}

// certainlyNotRun reports whether an attempt with the outcome has certainly not run and never will.
func certainlyNotRun(o beryllatch.ExecutionOutcome) bool {
	switch o {
	case beryllatch.OutcomeNotSent, beryllatch.OutcomeRefused, beryllatch.OutcomeWithdrawn:
		return true
	default:
		return false
	}
}

// freeRetry counts a refusal, and reports whether its retry needs no token of the retry budget. Refusals cost a worker almost
// nothing, and the worker gets no requests from this node for a short time after each.
func (r *Reducer) freeRetry(q *request, e ExecutionEnded) bool {
	if e.Outcome != beryllatch.OutcomeRefused {
		return false
	}
	q.refusals++
	return q.refusals <= freeRefusals
}

// retryReason returns the cause of a retry, which is part of the counter's name.
func retryReason(e ExecutionEnded) beryllatch.Reason {
	if e.Outcome == beryllatch.OutcomeAnswered {
		return beryllatch.ReasonJobFailing
	}
	return e.Reason
}

// retryBudget is a token bucket for retries and hedges. Its rate and size are proportional to the recent requests.
type retryBudget struct {
	limiter *rate.Limiter
	// recentRequests is the number of requests in the last retryPeriod, as an exponentially decaying average.
	recentRequests float64
	// arrivals counts the requests since lastTick.
	arrivals int
	lastTick time.Duration
}

func newRetryBudget() retryBudget {
	perSecond := rate.Limit(retryFloor / retryPeriod.Seconds())
	return retryBudget{limiter: rate.NewLimiter(perSecond, retryFloor)}
}

// bucketTime converts the node's monotonic time to the wall-clock type that the limiter expects.
func bucketTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func (b *retryBudget) countArrival() { b.arrivals++ }

// take takes one token, and reports whether there was one.
func (b *retryBudget) take(now time.Duration) bool { return b.limiter.AllowN(bucketTime(now), 1) }

// tick adjusts the bucket to the recent requests, once in each retryTickInterval.
func (b *retryBudget) tick(now time.Duration) {
	if now-b.lastTick < retryTickInterval {
		return
	}
	b.lastTick = now
	b.recentRequests += float64(b.arrivals) - b.recentRequests/retryPeriod.Seconds()
	b.arrivals = 0
	size := max(retryFloor, retryShare*b.recentRequests)
	b.limiter.SetLimitAt(bucketTime(now), rate.Limit(size/retryPeriod.Seconds()))
	b.limiter.SetBurstAt(bucketTime(now), int(size))
}
