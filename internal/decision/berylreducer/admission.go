package berylreducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// defaultDeadline applies when neither the request nor its queue sets a deadline.
	defaultDeadline = 30 * time.Second
	maxDeadline     = 60 * time.Second
	// defaultMaxQueued is the number of requests that may wait in a queue which sets no limit.
	defaultMaxQueued = 256
	// defaultRetryAfter is the retry delay that a refusal suggests to the caller unless it has a better estimate.
	defaultRetryAfter = 500 * time.Millisecond
)

// request is one caller's request from its arrival until it is answered or refused.
type request struct {
	RequestArrived
	team      string
	pool      *poolState
	arrivedAt time.Duration
	deadline  Instant
	// sequence orders requests by arrival.
	sequence uint64
	// lastAttempt is the number of the latest attempt, from 1; 0 before the first.
	lastAttempt int
	// runningAttempts holds the attempts that have not ended: none while the request waits, two with a hedge.
	runningAttempts []*attempt
	// triedWorkers holds the ids of the workers of the attempts that have ended.
	triedWorkers []string
	// mayHaveRun is true once an attempt has ended without proof that the worker did not start it.
	mayHaveRun bool
	// failures counts the attempts that have ended, except those that a worker refused.
	failures int
	// refusals counts the attempts that a worker refused.
	refusals int
	// jobFailures counts the distinct workers on which the job itself failed.
	jobFailures int
	// abandoned is true once the caller has closed its connection.
	abandoned bool
	// claim is the idempotency claim; nil without one.
	claim *claim

	// teamQueue is the team's part of the pool's local queue.
	teamQueue *teamQueue
	// estimatedRunTime and latestStart are the estimates from when the request was queued. shedLate updates latestStart.
	// estimatedRunTime stays, since the queue adds it to its sums and later subtracts the same value.
	estimatedRunTime time.Duration
	latestStart      time.Duration
	// teamIndex, startIndex and boundIndex are the positions in teamQueue.waiting, localQueue.byStart and
	// boundTeam.byLatestDeadline.
	teamIndex  int
	startIndex int
	boundIndex int
}

func (q *request) urgency() urgency {
	if q.Urgent {
		return urgent
	}
	return normal
}

// queued reports whether the request is in its pool's local queue.
func (q *request) queued() bool { return q.startIndex != notIndexed }

// refusal says why a request is refused, without the run state, which is added when the refusal is sent.
type refusal struct {
	reason beryllatch.Reason
	detail string
	// retryAfter is the delay after which the caller may retry; 0 means defaultRetryAfter.
	retryAfter time.Duration
}

func (r *Reducer) requestArrived(e RequestArrived) {
	if x := r.nodeRefusal(); x != nil {
		r.refuse(e.ID, beryllatch.RunStateNotRun, *x)
		return
	}
	team, queue, x := r.authorise(e)
	if x != nil {
		r.refuse(e.ID, beryllatch.RunStateNotRun, *x)
		return
	}
	r.sequence++
	q := &request{
		RequestArrived: e, team: team, pool: r.poolOf(queue.Pool), sequence: r.sequence,
		arrivedAt: r.now.Mono, deadline: r.now.Add(deadlineOf(e, queue)), teamIndex: notIndexed, startIndex: notIndexed, boundIndex: notIndexed,
	}
	q.teamQueue = q.pool.queue.team(team, r.weightOf(team))
	r.requests[e.ID] = q
	r.budget.countArrival()
	if x := r.shedOnArrival(q); x != nil {
		r.refuseRequest(q, *x)
		return
	}
	if e.IdempotencyKey != "" && !r.faults.ignoreClaims {
		r.startClaim(q)
		return
	}
	r.enqueue(q)
	r.dispatchPool(q.pool)
}

// nodeRefusal returns the refusal of a node that accepts no requests at present; nil if it does accept them.
func (r *Reducer) nodeRefusal() *refusal {
	switch {
	case r.refusesNew():
		return &refusal{reason: beryllatch.ReasonNodeStopping, detail: "the node is shutting down"}
	case !r.mayStart():
		return &refusal{
			reason: beryllatch.ReasonNodeStale,
			detail: "the node cannot prove that its configuration is up to date",
		}
	}
	return nil
}

// authorise returns the team and the queue of a request under the current configuration, or a refusal.
func (r *Reducer) authorise(e RequestArrived) (string, beryllatch.Queue, *refusal) {
	q, ok := r.config.Queues[e.Queue]
	if !ok {
		return "", q, &refusal{reason: beryllatch.ReasonUnknownQueue, detail: "no queue has this name"}
	}
	key, known := r.keys[e.KeyHash]
	switch {
	case !known && (e.KeyHash != "" || !q.Open):
		return "", q, &refusal{
			reason: beryllatch.ReasonUnauthorized, detail: "the key is missing, unknown or withdrawn",
		}
	case q.Team != "" && q.Team != key.Team:
		return "", q, &refusal{reason: beryllatch.ReasonForbiddenQueue, detail: "the queue belongs to another team"}
	}
	return key.Team, q, nil
}

// weightOf returns the team's weight. Requests without a team get the lowest possible weight, 1.
func (r *Reducer) weightOf(team string) int { return max(1, r.config.Teams[team].Weight) }

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

// shedOnArrival returns the refusal of a request that should not be queued at this node, or nil. If the queue is full, its
// least urgent request is refused, which may be a waiting one instead of q.
func (r *Reducer) shedOnArrival(q *request) *refusal {
	if x := r.jobRefusal(q); x != nil {
		return x
	}
	wait := q.pool.expectedWait(q, r.now.Mono)
	if r.now.Mono+wait > r.latestStart(q) {
		return &refusal{
			reason: beryllatch.ReasonDeadline, detail: "the work that waits here leaves no time before the deadline",
			retryAfter: wait,
		}
	}
	full := &refusal{reason: beryllatch.ReasonQueueFull, detail: "too many requests wait at this node", retryAfter: wait}
	b := q.pool.queue.bound(q.Queue)
	if b.waiting+r.claiming[q.Queue] < maxQueued(r.config.Queues[q.Queue]) {
		return nil
	}
	victim := b.victim(q)
	if victim == nil {
		return full
	}
	r.dequeue(victim)
	r.refuseRequest(victim, *full)
	return nil
}

func (r *Reducer) enqueue(q *request) {
	q.estimatedRunTime = r.runTimeOf(q)
	q.latestStart = r.latestStart(q)
	q.pool.queue.add(q)
	if u := r.units[q.team]; u != nil {
		u.waiting++
	}
}

func (r *Reducer) dequeue(q *request) {
	q.pool.queue.remove(q)
	if u := r.units[q.team]; u != nil {
		u.waiting--
	}
}

// adoptRequests applies a changed configuration to the waiting requests: each is queued again or, if the configuration no
// longer allows it, refused.
func (r *Reducer) adoptRequests() {
	var waiting []*request
	for _, q := range r.requests {
		if q.queued() {
			waiting = append(waiting, q)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, q := range waiting {
		r.dequeue(q)
	}
	r.resetQueues()
	for _, q := range waiting {
		r.readmit(q)
	}
	r.dispatchWaiting()
}

// readmit queues the request, or refuses it if the current configuration no longer allows it.
func (r *Reducer) readmit(q *request) {
	team, queue, x := r.authorise(q.RequestArrived)
	if x != nil || team != q.team {
		r.refuseRequest(q, permissionRefusal(x))
		return
	}
	q.pool = r.poolOf(queue.Pool)
	q.teamQueue = q.pool.queue.team(team, r.weightOf(team))
	r.enqueue(q)
}

// allowed reports whether the current configuration still allows the request.
func (r *Reducer) allowed(q *request) bool {
	team, _, x := r.authorise(q.RequestArrived)
	return x == nil && team == q.team
}

// permissionRefusal returns the refusal of a request that the current configuration no longer allows: the given one or, if
// it is nil, the one for a key that was moved to another team.
func permissionRefusal(x *refusal) refusal {
	if x != nil {
		return *x
	}
	return refusal{reason: beryllatch.ReasonUnauthorized, detail: "the key now belongs to another team"}
}

// resetQueues applies the configured weights to the teams' queues and unblocks them; the local queues must be empty.
func (r *Reducer) resetQueues() {
	clear(r.blocked)
	for _, p := range r.pools {
		clear(p.queue.bounds)
		for name, t := range p.queue.teams {
			t.blocked = false
			t.weight = r.weightOf(name)
		}
	}
	r.dropUnused()
}

// dropUnused removes the state of idle pools and the run time estimates of queues and teams that are no longer configured.
func (r *Reducer) dropUnused() {
	for name, p := range r.pools {
		if _, ok := r.config.Pools[name]; !ok && p.active == 0 {
			delete(r.pools, name)
		}
	}
	for class := range r.runTimes {
		_, queue := r.config.Queues[class.queue]
		_, team := r.config.Teams[class.team]
		if !queue || !team && class.team != "" {
			delete(r.runTimes, class)
		}
	}
}

func (r *Reducer) requestAbandoned(e RequestAbandoned) {
	q := r.requests[e.ID]
	if q == nil || q.abandoned {
		return
	}
	q.abandoned = true
	if len(q.runningAttempts) > 0 {
		return
	}
	if q.queued() {
		r.dequeue(q)
	}
	r.refuseRequest(q, refusal{reason: beryllatch.ReasonCallerGone, detail: "the caller closed its connection"})
}

// tickRequests does the periodic work of requests and workers: expiry of pauses, leases and claims, hedges, refusal of
// requests that can no longer meet their deadlines, and dispatch.
func (r *Reducer) tickRequests() {
	r.budget.tick(r.now.Mono)
	r.tickJobs()
	r.tickLostExecutions()
	r.tickWorkers()
	r.tickHedges()
	r.tickClaims()
	for _, name := range beryllatch.SortedKeys(r.pools) {
		r.shedLate(r.pools[name])
	}
	r.dispatchWaiting()
}

// shedLate refuses the waiting requests of the pool that can no longer meet their deadlines.
func (r *Reducer) shedLate(p *poolState) {
	for {
		q, ok := p.queue.byStart.top()
		if !ok || r.now.Mono < q.latestStart {
			return
		}
		if r.tooLate(q) {
			r.refuseLate(q)
			continue
		}
		// The estimated run time has become shorter since the request was queued, so it may start later than recorded.
		q.latestStart = r.latestStart(q)
		p.queue.byStart.fix(q)
	}
}

// tooLate reports whether a request that started now would probably miss its deadline.
func (r *Reducer) tooLate(q *request) bool { return r.now.Mono >= r.latestStart(q) }

func (r *Reducer) refuseLate(q *request) {
	reason := r.waitReason(q)
	r.dequeue(q)
	r.refuseRequest(q, refusal{reason: reason, detail: "the request could not start in time for its deadline"})
}

// waitReason returns the reason for which the request has waited until now.
func (r *Reducer) waitReason(q *request) beryllatch.Reason {
	switch {
	case q.teamQueue.blocked:
		return beryllatch.ReasonTeamCeiling
	case !q.pool.hasWorker():
		return beryllatch.ReasonNoCapacity
	default:
		return beryllatch.ReasonDeadline
	}
}

// refuseRequest refuses a request that has no running attempt. The reported run state is not_run only if no attempt can
// have run.
func (r *Reducer) refuseRequest(q *request, x refusal) {
	state := beryllatch.RunStateNotRun
	if q.mayHaveRun && !r.faults.denyRun {
		state = beryllatch.RunStateUnknown
	}
	r.removeRequest(q)
	r.endClaim(q, false)
	r.refuse(q.ID, state, x)
}

func (r *Reducer) removeRequest(q *request) { delete(r.requests, q.ID) }

func (r *Reducer) refuse(id string, state beryllatch.RunState, x refusal) {
	if x.retryAfter <= 0 {
		x.retryAfter = defaultRetryAfter
	}
	r.count("refusal." + string(x.reason))
	r.emit(Refuse{ID: id, Refusal: beryllatch.Refusal{
		Reason: x.reason, RunState: state, RetryAfter: x.retryAfter, Detail: x.detail,
	}})
}
