package berylreducer

import "github.com/beryllatch/beryllatch"

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// mayRetry reports whether another attempt cannot run the request twice against the caller's wish.
func (r *Reducer) mayRetry(q *request, e ExecutionEnded) bool {
	if !e.Replayable || q.attempt >= maxAttempts || r.now.Mono >= q.deadline.Mono {
		return false
	}
	return q.Idempotent || e.Outcome == beryllatch.OutcomeNotSent || e.Outcome == beryllatch.OutcomeRefused
}
