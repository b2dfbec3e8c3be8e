package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	defaultDeadline  = 30 * time.Second
	maxDeadline      = 60 * time.Second
	defaultMaxQueued = 256
	retryLater       = 500 * time.Millisecond
)

// request is one caller's request between its arrival and its end.
type request struct {
	RequestArrived
	team     string
	pool     string
	arrived  Instant
	deadline Instant
	attempt  int
	// instance is the worker of the running attempt; empty while the request waits.
	instance string
	tried    []string
	holds    bool
}

func (r *Reducer) requestArrived(e RequestArrived) {
	q, ok := r.config.Queues[e.Queue]
	switch {
	case r.refusesNew():
		r.refuseNotRun(e.ID, beryllatch.ReasonNodeStopping, "the node is shutting down")
		return
	case !r.mayStart():
		r.refuseNotRun(e.ID, beryllatch.ReasonNodeStale, "the node cannot prove that its configuration is up to date")
		return
	case !ok:
		r.refuseNotRun(e.ID, beryllatch.ReasonUnknownQueue, "no queue has this name")
		return
	}
	key, known := r.keys[e.KeyHash]
	switch {
	case !known && (e.KeyHash != "" || !q.Open):
		r.refuseNotRun(e.ID, beryllatch.ReasonUnauthorized, "the key is missing, unknown or withdrawn")
		return
	case q.Team != "" && q.Team != key.Team:
		r.refuseNotRun(e.ID, beryllatch.ReasonForbiddenQueue, "the queue belongs to another team")
		return
	}
	q2 := &request{RequestArrived: e, team: key.Team, pool: q.Pool, arrived: r.now, deadline: r.now.Add(deadlineOf(e, q))}
	r.requests[e.ID] = q2
	if len(r.waiting[q.Name]) >= maxQueued(q) {
		r.end(q2)
		r.refuseNotRun(e.ID, beryllatch.ReasonQueueFull, "too many requests wait at this node")
		return
	}
	r.enqueue(q2)
	r.dispatchWaiting()
}

func deadlineOf(e RequestArrived, q beryllatch.Queue) time.Duration {
	d := e.Deadline
	if d <= 0 {
		d = time.Duration(q.DeadlineMS) * time.Millisecond
	}
	if d <= 0 {
		d = defaultDeadline
	}
	return min(d, maxDeadline)
}

func maxQueued(q beryllatch.Queue) int {
	if q.MaxQueued > 0 {
		return q.MaxQueued
	}
	return defaultMaxQueued
}

func (r *Reducer) enqueue(q *request) {
	q.instance = ""
	r.waiting[q.Queue] = append(r.waiting[q.Queue], q)
	if u := r.units[q.team]; u != nil {
		u.waiting++
	}
}

// dispatchWaiting starts every waiting request that has a unit and a worker.
func (r *Reducer) dispatchWaiting() {
	if !r.mayStart() {
		return
	}
	for _, queue := range beryllatch.SortedKeys(r.waiting) {
		var rest []*request
		for _, q := range r.waiting[queue] {
			if !r.dispatch(q) {
				rest = append(rest, q)
			}
		}
		if len(rest) == 0 {
			delete(r.waiting, queue)
		} else {
			r.waiting[queue] = rest
		}
	}
}

func (r *Reducer) dispatch(q *request) bool {
	i, ok := r.chooseWorker(q.pool, q.tried)
	if !ok {
		return false
	}
	if !r.takeUnit(q.team) {
		r.readUnits(q.team)
		return false
	}
	if u := r.units[q.team]; u != nil {
		u.waiting--
	}
	q.holds = true
	q.instance = i.ID
	q.attempt++
	r.workers[i.ID].running++
	startBy := r.now.Wall.Add(min(startByLimit, r.tenure.until-r.now.Mono))
	r.emit(Dispatch{
		ID: q.ID, Attempt: q.attempt, Instance: i.ID,
		Execution: beryllatch.Execution{
			ID: q.ID + "." + strconv.Itoa(q.attempt), Address: i.Address, Team: q.team, Queue: q.Queue,
			StartBy: startBy, LeaseExpiry: q.deadline.Wall,
		},
		AnswerBy: q.deadline,
	})
	return true
}

func (r *Reducer) executionEnded(e ExecutionEnded) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.instance == "" {
		return
	}
	r.release(q)
	switch {
	case e.Outcome == beryllatch.OutcomeAnswered:
		r.end(q)
		r.emit(Finish{ID: q.ID})
	case r.mayRetry(q, e):
		q.tried = append(q.tried, q.instance)
		r.count("retry." + string(e.Reason))
		r.enqueue(q)
	case e.Outcome == beryllatch.OutcomeUnknown:
		r.end(q)
		r.refuse(q.ID, beryllatch.RunStateUnknown, e.Reason, "the request may have run")
	default:
		r.end(q)
		r.refuseNotRun(q.ID, e.Reason, "no worker started the request")
	}
	r.dispatchWaiting()
}

// release gives back the unit and the worker slot of the request's attempt.
func (r *Reducer) release(q *request) {
	if q.holds {
		r.returnUnit(q.team)
		q.holds = false
	}
	if w := r.workers[q.instance]; w != nil {
		w.running--
	}
}

func (r *Reducer) end(q *request) { delete(r.requests, q.ID) }

func (r *Reducer) requestAbandoned(e RequestAbandoned) {
	q := r.requests[e.ID]
	if q == nil || q.instance != "" {
		return
	}
	r.removeWaiting(q)
	r.end(q)
	r.count("refusal." + string(beryllatch.ReasonCallerGone))
}

func (r *Reducer) removeWaiting(q *request) {
	list := r.waiting[q.Queue]
	for n, x := range list {
		if x == q {
			r.waiting[q.Queue] = append(list[:n:n], list[n+1:]...)
			if u := r.units[q.team]; u != nil {
				u.waiting--
			}
			return
		}
	}
}

// tickRequests refuses the waiting requests whose deadline has passed.
func (r *Reducer) tickRequests() {
	for _, queue := range beryllatch.SortedKeys(r.waiting) {
		for _, q := range append([]*request(nil), r.waiting[queue]...) {
			if r.now.Mono >= q.deadline.Mono {
				r.removeWaiting(q)
				r.end(q)
				r.refuseNotRun(q.ID, r.waitReason(q), "no worker was free before the deadline")
			}
		}
	}
	r.dispatchWaiting()
}

func (r *Reducer) waitReason(q *request) beryllatch.Reason {
	if u := r.units[q.team]; u != nil && u.running >= u.held {
		return beryllatch.ReasonTeamCeiling
	}
	return beryllatch.ReasonNoCapacity
}

func (r *Reducer) refuseNotRun(id string, reason beryllatch.Reason, detail string) {
	r.refuse(id, beryllatch.RunStateNotRun, reason, detail)
}

func (r *Reducer) refuse(id string, state beryllatch.RunState, reason beryllatch.Reason, detail string) {
	r.count("refusal." + string(reason))
	r.emit(Refuse{ID: id, Refusal: beryllatch.Refusal{
		Reason: reason, RunState: state, RetryAfter: retryLater, Detail: detail,
	}})
}
