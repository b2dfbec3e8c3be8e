package berylreducer

import "time"

const (
	// breakerFailures in a row open a breaker.
	breakerFailures = 5
	// breakerTeams keeps one team's bad jobs from taking workers away from the others.
	breakerTeams    = 2
	breakerOpenTime = 10 * time.Second
	// breakerPoolDivisor is the inverse of the largest part of a pool that breakers may take out at once.
	breakerPoolDivisor = 3
	// failurePenalty weighs a worker's failures in a row: a worker that fails at once would otherwise look the least
	// loaded until its breaker opens, which takes minutes where each node sends it little work.
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

// breaker counts a worker's failures in a row.
type breaker struct {
	state    breakerState
	failures int
	// lastFailure is the time of the last failure.
	lastFailure time.Duration
	// firstTeam is the team of the first failure in the row, and several is true once another team has failed too.
	firstTeam    string
	severalTeams bool
	openUntil    time.Duration
	// probing is true while the only execution of a half-open breaker runs.
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

// penalty is the factor by which recent failures make the worker look busier.
func (b *breaker) penalty(now time.Duration) float64 {
	if b.failures == 0 || now-b.lastFailure >= breakerOpenTime {
		return 1
	}
	return 1 + failurePenalty*float64(b.failures)
}

func (b *breaker) tripped() bool { return b.failures >= breakerFailures && b.severalTeams }

// workerSucceeded closes the worker's breaker.
func (r *Reducer) workerSucceeded(w *workerState) {
	if w.breaker.state == breakerHalfOpen {
		r.setBreaker(w, breakerClosed)
	}
	w.breaker.failures = 0
}

// workerFailed opens the worker's breaker after a row of failures, or when its probe has failed.
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
