package berylreducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	defaultDeadline   = 30 * time.Second
	maxDeadline       = 60 * time.Second
	defaultMaxQueued  = 256
	defaultRetryAfter = 500 * time.Millisecond
)

// request is one caller's request between its arrival and its end.
type request struct {
	RequestArrived
	team     string
	pool     *poolState
	arrived  time.Duration
	deadline Instant
	// sequence orders requests by arrival.
	sequence uint64
	// lastAttempt numbers the last attempt.
	lastAttempt int
	// runningAttempts holds the attempts that have not ended; none while the request waits, and two with a hedge.
	runningAttempts []*attempt
	triedWorkers    []string
	// mayHaveRun is true once an attempt has ended without proof that the worker did not start it.
	mayHaveRun bool
	// failures counts the attempts without an answer that no worker has refused.
	failures int
	// refusals counts the attempts that a worker has refused.
	refusals int
	// jobFailures counts the distinct workers on which the job itself has failed.
	jobFailures int
	abandoned   bool
	// claim is the idempotency claim; nil without one.
	claim *claim

	// The fields below belong to the local queue.
	teamQueue        *teamQueue
	estimatedRunTime time.Duration
	latestStart      time.Duration
	teamIndex        int
	startIndex       int
	boundIndex       int
}

func (q *request) urgency() urgency {
	if q.Urgent {
		return urgent
	}
	return normal
}

// queued reports whether the request is in its pool's local queue.
func (q *request) queued() bool { return q.startIndex != notIndexed }

// refusal is the cause of a refusal before its run state is known.
type refusal struct {
	reason beryllatch.Reason
	detail string
	// retryAfter is the time until a repeat makes sense; 0 means the default.
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
		arrived: r.now.Mono, deadline: r.now.Add(deadlineOf(e, queue)), teamIndex: notIndexed, startIndex: notIndexed, boundIndex: notIndexed,
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

// nodeRefusal returns why the node accepts no request at all, or nil.
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

// authorise returns the team and the queue of a request under the present configuration.
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

// weightOf returns the team's weight; work without a team weighs as little as the smallest team can.
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

// shedOnArrival returns why the request should not wait here, or nil. A full queue gives up its least urgent request.
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

// adoptRequests applies a changed configuration to the requests that wait: those that it no longer allows are refused.
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

// readmit queues the request again if the configuration allows it.
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

// allowed reports whether the present configuration still allows the request.
func (r *Reducer) allowed(q *request) bool {
	team, _, x := r.authorise(q.RequestArrived)
	return x == nil && team == q.team
}

// permissionRefusal returns the refusal of work whose permission has ended.
func permissionRefusal(x *refusal) refusal {
	if x != nil {
		return *x
	}
	return refusal{reason: beryllatch.ReasonUnauthorized, detail: "the key now belongs to another team"}
}

// resetQueues adopts the teams' weights; the local queues must be empty.
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

// dropUnused forgets what belongs to pools, queues and teams that have left the configuration.
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

// tickRequests refuses the waiting requests that can no longer be answered by their deadlines.
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
		// The estimate has fallen since the request was queued.
		q.latestStart = r.latestStart(q)
		p.queue.byStart.fix(q)
	}
}

// tooLate reports whether a start would leave too little time before the deadline.
func (r *Reducer) tooLate(q *request) bool { return r.now.Mono >= r.latestStart(q) }

func (r *Reducer) refuseLate(q *request) {
	reason := r.waitReason(q)
	r.dequeue(q)
	r.refuseRequest(q, refusal{reason: reason, detail: "the request could not start in time for its deadline"})
}

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

// refuseRequest ends a request that has no execution; its run state is not_run only if no attempt may have run.
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
