package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// notIndexed is the index of an element that is not in the queue or set.
	notIndexed = -1
	// refusalPause is the pause after a worker's first refusal; each further refusal in a row doubles it, up to
	// maxRefusalPause. A worker of 8 slots that runs executions of 2 s frees a slot every 250 ms. With pauses of up to 2 s,
	// 36 nodes left slots idle while urgent requests waited 0.43 s.
	refusalPause    = 100 * time.Millisecond
	maxRefusalPause = 200 * time.Millisecond
	// runTimeWeight is the weight of the newest sample in a worker's mean run time.
	runTimeWeight = 0.1
	// reportTTL is the age from which the load that a worker reported no longer affects its score.
	reportTTL = 250 * time.Millisecond
	// answerLimitStep is added to a worker's limit for each answer while the node uses the limit fully.
	answerLimitStep = 0.02
	// backlogLimitStep is added to the limit at each tick while the node uses it fully and work waits in the pool. With
	// answers alone, it would take hours to raise the limit if executions take a minute.
	backlogLimitStep = 0.05
	// refusalLimitFactor is multiplied with the limit at each refusal.
	refusalLimitFactor = 0.5
	// assumedRunTime is the estimated run time of a worker without samples.
	assumedRunTime = 100 * time.Millisecond
)

// workerState is what the node knows about one worker.
type workerState struct {
	inst beryllatch.Instance
	pool *poolState
	tier tier
	// eligibleIndex is the position in the pool's set of eligible workers of the tier.
	eligibleIndex int
	// running counts this node's executions on the worker that have not ended.
	running int
	// inInstanceList is true if the platform's instance list contains the worker, listedLeaving if the list marks it as
	// leaving.
	listedLeaving  bool
	inInstanceList bool
	// unhealthy, bootID, reportedLeaving and reportedRunning are from the worker's last report, received at reportedAt.
	// reportedRunning includes the executions of all nodes.
	unhealthy       bool
	bootID          string
	reportedLeaving bool
	reportedRunning int
	reportedAt      time.Duration
	// runTime is the mean run time of recent answers; 0 without any.
	runTime time.Duration
	// limit is the number of executions that this node may have on the worker at once. Answers raise it and refusals lower
	// it; below 1 it is not set, and fairLimit applies.
	limit float64
	// refusals counts the refusals since the last answer.
	refusals int
	breaker  breaker
	// pausedUntil is the end of the pause after a refusal.
	pausedUntil time.Duration
	// paused is true while the worker is in pausedWorkers.
	paused bool
}

// adoptWorkers applies the configuration to the workers and the sets of eligible workers.
func (r *Reducer) adoptWorkers() {
	r.dropWorkers()
	for _, p := range r.pools {
		p.tiers = [tiers]workerSet{}
		p.size, p.openBreakers = 0, 0
	}
	for id := range r.config.Instances {
		if r.workers[id] == nil {
			r.workers[id] = &workerState{}
		}
	}
	r.workerOrder = r.workerOrder[:0]
	for _, id := range beryllatch.SortedKeys(r.workers) {
		r.adoptWorker(r.workers[id], id)
		r.workerOrder = append(r.workerOrder, r.workers[id])
	}
}

// dropWorkers removes the workers that are no longer configured, except those with running executions.
func (r *Reducer) dropWorkers() {
	for id, w := range r.workers {
		if _, ok := r.config.Instances[id]; ok {
			continue
		}
		w.detach(r.poolOf(""))
		if w.running == 0 {
			delete(r.workers, id)
		}
	}
}

// detach removes a worker that is no longer configured from its pool. p is a pool without a name that replaces it while the
// worker's executions are still running.
func (w *workerState) detach(p *poolState) {
	w.inst = beryllatch.Instance{ID: w.inst.ID}
	w.pool = p
	w.breaker = breaker{}
}

func (r *Reducer) adoptWorker(w *workerState, id string) {
	w.eligibleIndex = notIndexed
	i, ok := r.config.Instances[id]
	if !ok {
		return
	}
	if w.inst.Address != i.Address {
		w.limit, w.runTime, w.breaker = 0, 0, breaker{}
	}
	w.inst, w.pool = i, r.poolOf(i.Pool)
	w.tier = r.tierOf(i)
	w.pool.size++
	if w.breaker.state != breakerClosed {
		w.pool.openBreakers++
	}
	r.updateEligibility(w)
}

func (r *Reducer) instancesListed(e InstancesListed) {
	for _, w := range r.workerOrder {
		status, ok := e.Instances[w.inst.Address]
		w.inInstanceList, w.listedLeaving = ok, status.Leaving
		r.updateEligibility(w)
	}
}

func (r *Reducer) workerReported(e WorkerReported) {
	w := r.workers[e.Instance]
	if w == nil {
		return
	}
	w.unhealthy, w.reportedLeaving = !e.Healthy, e.Leaving
	w.bootID = e.BootID
	w.reportedRunning, w.reportedAt = e.Running, r.now.Mono
	r.updateEligibility(w)
	r.dispatchPool(w.pool)
}

// updateEligibility adds the worker to the set of eligible workers, or removes it, after a change of its state.
func (r *Reducer) updateEligibility(w *workerState) {
	ok := r.eligible(w)
	switch {
	case ok && w.eligibleIndex == notIndexed:
		w.pool.tiers[w.tier].add(w)
	case !ok && w.eligibleIndex != notIndexed:
		w.pool.tiers[w.tier].remove(w)
	}
}

// eligible reports whether the node may send new work to the worker.
func (r *Reducer) eligible(w *workerState) bool {
	i := &w.inst
	return i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		!r.config.DataCentres[i.DataCentre].Out &&
		(!w.listedLeaving && !w.reportedLeaving || r.faults.ignoreLeaving) && !w.unhealthy &&
		w.breaker.state != breakerOpen && !w.breaker.probing &&
		r.now.Mono >= w.pausedUntil && w.running < r.workerLimit(w)
}

// workerLimit is the number of executions that this node may have on the worker at once.
func (r *Reducer) workerLimit(w *workerState) int {
	if w.limit < 1 {
		return r.fairLimit(w)
	}
	return min(int(w.limit), r.maxLimit(w))
}

// fairLimit is the node's equal part of the worker's slots. It is the limit until there are answers or refusals.
func (r *Reducer) fairLimit(w *workerState) int {
	part := (w.inst.Slots + r.nodes() - 1) / r.nodes()
	return min(part, r.maxLimit(w))
}

// maxLimit is the highest possible limit: all slots of the worker, but at most the node's equal part of its connections.
func (r *Reducer) maxLimit(w *workerState) int {
	return min(w.inst.Slots, max(1, w.inst.Connections/r.nodes()))
}

// nodes is the number of nodes that share the workers.
func (r *Reducer) nodes() int { return max(1, len(r.tenure.knownIncarnations)) }

// updateAllEligibility updates all workers after a change of the number of nodes, on which their limits depend.
func (r *Reducer) updateAllEligibility() {
	if r.limitNodes == r.nodes() {
		return
	}
	r.limitNodes = r.nodes()
	for _, w := range r.workerOrder {
		r.updateEligibility(w)
	}
}

// addExecution counts an execution that this node starts on the worker.
func (r *Reducer) addExecution(w *workerState) {
	w.running++
	w.breaker.probing = w.breaker.state == breakerHalfOpen
	r.updateEligibility(w)
}

// removeExecution stops counting an execution on the worker.
func (r *Reducer) removeExecution(w *workerState) {
	w.running--
	w.breaker.probing = false
	r.updateEligibility(w)
}

// recordWorkerOutcome updates the worker's run time, limit, pause and breaker after an execution.
func (r *Reducer) recordWorkerOutcome(w *workerState, q *request, e ExecutionEnded) {
	switch {
	case e.Outcome == beryllatch.OutcomeRefused:
		r.workerRefused(w)
	case e.Outcome == beryllatch.OutcomeAnswered && !e.Failed:
		r.workerAnswered(w, e.Duration)
	case !q.abandoned:
		r.workerFailed(w, q.team)
	}
	r.updateEligibility(w)
}

// workerAnswered records a successful execution of the duration d.
func (r *Reducer) workerAnswered(w *workerState, d time.Duration) {
	r.workerSucceeded(w)
	w.refusals = 0
	if w.runTime == 0 {
		w.runTime = d
	}
	w.runTime += time.Duration(runTimeWeight * float64(d-w.runTime))
	if w.running+1 >= r.workerLimit(w) {
		r.raiseLimit(w, answerLimitStep)
	}
}

// raiseLimits raises the limits that are fully used in pools where requests or tasks wait.
func (r *Reducer) raiseLimits() {
	r.markBacklogged()
	for _, w := range r.workerOrder {
		if limit := r.workerLimit(w); w.pool.backlogged && w.running >= limit && limit < r.maxLimit(w) {
			r.raiseLimit(w, backlogLimitStep)
			r.updateEligibility(w)
		}
	}
}

// markBacklogged determines the pools in which requests or tasks wait.
func (r *Reducer) markBacklogged() {
	for _, p := range r.pools {
		p.backlogged = p.queue.len() > 0
	}
	for k := range r.tasks.ready {
		r.poolOf(r.config.Queues[k.queue].Pool).backlogged = true
	}
}

func (r *Reducer) raiseLimit(w *workerState, step float64) {
	limit := r.workerLimit(w)
	w.limit = min(max(w.limit, float64(limit))+step, float64(r.maxLimit(w)))
}

// workerRefused pauses the worker, and multiplies its limit by refusalLimitFactor. The new limit is at most the number of
// executions that the worker is running for this node, and at least 1.
func (r *Reducer) workerRefused(w *workerState) {
	w.limit = max(1, min(float64(w.running), w.limit*refusalLimitFactor))
	pause := min(refusalPause<<min(w.refusals, 10), maxRefusalPause)
	w.refusals++
	w.pausedUntil = max(w.pausedUntil, r.now.Mono+pause)
	r.pauseWorker(w)
}

// pauseWorker makes tickWorkers check for the end of the worker's pause or open breaker.
func (r *Reducer) pauseWorker(w *workerState) {
	if !w.paused {
		w.paused = true
		r.pausedWorkers = append(r.pausedWorkers, w)
	}
	r.updateEligibility(w)
}

// tickWorkers updates the limits, half-opens the breakers whose open time is over, and ends pauses.
func (r *Reducer) tickWorkers() {
	r.updateAllEligibility()
	r.raiseLimits()
	kept := r.pausedWorkers[:0]
	for _, w := range r.pausedWorkers {
		if w.breaker.state == breakerOpen && r.now.Mono >= w.breaker.openUntil {
			r.setBreaker(w, breakerHalfOpen)
		}
		w.paused = w.breaker.state == breakerOpen || r.now.Mono < w.pausedUntil
		if w.paused {
			kept = append(kept, w)
			continue
		}
		r.updateEligibility(w)
	}
	clear(r.pausedWorkers[len(kept):])
	r.pausedWorkers = kept
}

// chooseWorker picks an eligible worker of the pool, if possible one that is not in tried.
func (r *Reducer) chooseWorker(pool string, tried []string) (beryllatch.Instance, bool) {
	w := r.poolOf(pool).choose(r.rand, r.now.Mono, tried)
	if w == nil {
		return beryllatch.Instance{}, false
	}
	return w.inst, true
}

// reportedLoad is the number of executions that the worker reported, with a weight that falls to 0 at the age reportTTL.
// Executions start and end within milliseconds, and an outdated report would make all nodes choose the same workers.
func (w *workerState) reportedLoad(now time.Duration) float64 {
	weight := 1 - float64(now-w.reportedAt)/float64(reportTTL)
	return max(0, weight) * float64(w.reportedRunning)
}

// score estimates how long a new execution would take to get through the worker; lower is better.
func (w *workerState) score(now time.Duration) float64 {
	d := w.runTime
	if d <= 0 {
		d = assumedRunTime
	}
	return (float64(w.running+1) + w.reportedLoad(now)) * float64(d) * w.breaker.penalty(now)
}
