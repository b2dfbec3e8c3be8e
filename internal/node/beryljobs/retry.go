package beryljobs

import (
	"errors"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylretry"
)

const (
	// firstReturn is the shortest time after which a caller returns that the node has refused during a takeover or with an
	// outdated configuration.
	firstReturn = time.Second
	// returnSeconds is the number of seconds over which these callers are spread; a takeover takes up to 2 s.
	returnSeconds = 2
)

// retryTimes plans when the callers return that the node refuses by itself, without the scheduling node. It is safe for concurrent
// use.
type retryTimes struct {
	mu      sync.Mutex
	planner berylretry.Planner
	// second is the beginning of the present second.
	second time.Time
	// refusals counts the refusals of the last returnSeconds seconds, those of the present one first.
	refusals [returnSeconds]int
}

// next returns the retry time of a caller that is refused now.
func (r *retryTimes) next() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read under the lock, so that the planner gets the times in order.
	return r.book(time.Now())
}

// book books a refusal at the given time. The rate is what the node has refused a second in the last returnSeconds seconds, rounded
// up: it doesn't know the fleet's capacity, nor what the other nodes have refused. At that rate its own callers return evenly over
// returnSeconds seconds, since it counts each of them that has not returned. Shares are known to the scheduling node alone, so no
// caller counts as above its team's share.
func (r *retryTimes) book(now time.Time) time.Duration {
	r.count(now)
	sum := 0
	for _, n := range r.refusals {
		sum += n
	}
	rate := (sum + returnSeconds - 1) / returnSeconds
	return r.planner.Book(now, berylretry.Room{Rate: float64(rate), From: now.Add(firstReturn)}, false)
}

// count counts a refusal and drops those of earlier seconds. After a step of the clock, it counts anew.
func (r *retryTimes) count(now time.Time) {
	passed := now.Sub(r.second) / time.Second
	switch {
	case passed < 0 || passed >= returnSeconds:
		// Whole seconds of the clock, as the planner has them.
		r.second = now.Add(-time.Duration(now.Nanosecond()))
		r.refusals = [returnSeconds]int{}
	case passed > 0:
		r.second = r.second.Add(passed * time.Second)
		copy(r.refusals[passed:], r.refusals[:])
		clear(r.refusals[:passed])
	}
	r.refusals[0]++
}

// planRetry returns err with a planned retry time if it is a refusal as not run because no node schedules. The node that answers
// the caller plans the time, also if the refusal comes from another node, so that each caller is booked once.
func (n *Node) planRetry(err error) error {
	var f *beryllatch.Refusal
	if !errors.As(err, &f) || f.Reason != beryllatch.ReasonNoScheduler || f.RunState != beryllatch.RunStateNotRun || !n.deployment.Load().HasShares() {
		return err
	}
	planned := *f
	planned.RetryAfter = n.retryTimes.next()
	return &planned
}

// StaleRetry returns the retry time of a caller that is refused because the configuration may be outdated, or 0 if the last known
// configuration has no shares. Call it once for each such refusal.
func (n *Node) StaleRetry() time.Duration {
	if !n.deployment.Load().HasShares() {
		return 0
	}
	return n.retryTimes.next()
}
