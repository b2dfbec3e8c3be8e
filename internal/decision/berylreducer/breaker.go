package berylreducer

import "time"

const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 5
	breakerOpenTime = 10 * time.Second // how long a worker gets no requests before a single one probes it again
	// breakerPoolDivisor is the inverse of the largest part of a pool's workers whose breakers may be open at once.
	breakerPoolDivisor = 3
	// failurePenalty is the weight of each failure in a row in a worker's score. Without it, a worker that fails every
	// request immediately would look the least loaded until its breaker opens. That takes minutes if each node sends it few
	// requests.
	failurePenalty = 4
)

// breakerState is the state of a worker's circuit breaker.
type breakerState string

// The states of a circuit breaker; the zero value is closed.
const (
	breakerClosed   breakerState = ""
	breakerOpen     breakerState = "open"
	breakerHalfOpen breakerState = "half_open"
)

// breaker is a worker's circuit breaker.
type breaker struct {
	state breakerState
	// failures is the number of failures since the last success.
	failures    int
	lastFailure time.Duration
	// firstTeam is the team of the first of these failures. severalTeams is true if another team has a failure too.
	firstTeam    string
	severalTeams bool
	openUntil    time.Duration
	// probing is true while the single execution that a half-open breaker allows is running.
	probing bool
}

func (b *breaker) fail(team string, now time.Duration) {
	b.lastFailure = now
	if b.failures == 0 {
		b.firstTeam, b.severalTeams = team, false
	}
	b.failures++
	b.severalTeams = b.severalTeams || team != b.firstTeam
}

// penalty is the factor by which recent failures raise the worker's score, so that the worker is chosen less often.
func (b *breaker) penalty(now time.Duration) float64 {
	if b.failures == 0 || now-b.lastFailure >= breakerOpenTime {
		return 1
	}
	return 1 + failurePenalty*float64(b.failures)
}

func (b *breaker) tripped() bool { return b.failures >= breakerFailures && b.severalTeams }

// workerSucceeded resets the worker's failures and closes its breaker if it is half-open.
func (r *Reducer) workerSucceeded(w *workerState) {
	if w.breaker.state == breakerHalfOpen {
		r.setBreaker(w, breakerClosed)
	}
	w.breaker.failures = 0
}

// workerFailed counts a failure. It opens the worker's breaker after breakerFailures in a row, or if the failed execution
// was the probe of a half-open breaker.
func (r *Reducer) workerFailed(w *workerState, team string) {
	w.breaker.fail(team, r.now.Mono)
	switch {
	case w.breaker.state == breakerHalfOpen:
		r.openBreaker(w)
	case w.breaker.state == breakerClosed && w.breaker.tripped():
		if (w.pool.openBreakers+1)*breakerPoolDivisor > w.pool.size {
			r.count("breaker_floor")
			return
		}
		r.openBreaker(w)
	}
}

func (r *Reducer) openBreaker(w *workerState) {
	w.breaker.openUntil = r.now.Mono + breakerOpenTime
	r.setBreaker(w, breakerOpen)
	r.pauseWorker(w)
}

func (r *Reducer) setBreaker(w *workerState, to breakerState) {
	from := w.breaker.state
	if from == to {
		return
	}
	w.breaker.state = to
	switch {
	case from == breakerClosed:
		w.pool.openBreakers++
	case to == breakerClosed:
		w.pool.openBreakers--
	}
	r.emit(LogState{Subject: "breaker", From: breakerName(from), To: breakerName(to), Detail: w.inst.ID})
}

func breakerName(s breakerState) string {
	if s == breakerClosed {
		return "closed"
	}
	return string(s)
}
