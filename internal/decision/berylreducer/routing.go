package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// notIndexed is the place of a worker outside the index of eligible workers.
	notIndexed = -1
	// refusalPause is the pause after a worker's first refusal; each further refusal in a row doubles it, up to
	// maxRefusalRest. A worker of 8 slots that runs work of 2 s has a free slot every 250 ms: with pauses of up to 2 s,
	// 36 nodes left slots idle while urgent work waited 0.43 s.
	refusalPause    = 100 * time.Millisecond
	maxRefusalPause = 200 * time.Millisecond
	// runTimeWeight is the weight of the newest sample in a worker's mean run time.
	runTimeWeight = 0.1
	// reportTTL is the age at which a worker's report no longer counts for the choice.
	reportTTL = 250 * time.Millisecond
	// answerLimitStep is added to a worker's limit for each answer while the limit is in use.
	answerLimitStep = 0.02
	// backlogLimitStep is added at each tick while work waits for the worker. Answers alone would raise the limit in hours where
	// executions take a minute.
	backlogLimitStep = 0.05
	// refusalLimitFactor multiplies the limit on a refusal.
	refusalLimitFactor = 0.5
	// assumedRunTime stands for the run time of a worker without samples.
	assumedRunTime = 100 * time.Millisecond
)

// workerState is what the node knows about one worker.
type workerState struct {
	inst beryllatch.Instance
	pool *poolState
	tier tier
	// eligibleIndex is the position in the index of eligible workers.
	eligibleIndex int
	// running counts this node's executions on the worker that have not ended.
	running       int
	listedLeaving bool
	listed        bool
	unhealthy     bool
	bootID        string
	// reportedLeaving is true when the worker itself said that it leaves.
	reportedLeaving bool
	// reportedRunning is the load from all nodes in the worker's last report.
	reportedRunning int
	reportedAt      time.Duration
	runTime         time.Duration
	// limit is the number of executions that this node places on the worker; refusals lower it.
	limit    float64
	refusals int
	breaker  breaker
	// pausedUntil is the end of the pause after refusals or of the open time of the breaker.
	pausedUntil time.Duration
	paused      bool
}

// adoptWorkers brings the workers and the index of eligible workers in line with the configuration.
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

// detach takes a worker that has left the configuration out of every pool; its running executions still count.
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
		w.listed, w.listedLeaving = ok, status.Leaving
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

// updateEligibility adds the worker to the index of eligible workers or takes it out.
func (r *Reducer) updateEligibility(w *workerState) {
	ok := r.eligible(w)
	switch {
	case ok && w.eligibleIndex == notIndexed:
		w.pool.tiers[w.tier].add(w)
	case !ok && w.eligibleIndex != notIndexed:
		w.pool.tiers[w.tier].remove(w)
	}
}

// eligible reports whether new work may go to the worker.
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

// fairLimit is an equal part of the worker's slots; each node starts with it.
func (r *Reducer) fairLimit(w *workerState) int {
	part := (w.inst.Slots + r.nodes() - 1) / r.nodes()
	return min(part, r.maxLimit(w))
}

// maxLimit is the number of the worker's slots, at most an equal part of its connections.
func (r *Reducer) maxLimit(w *workerState) int {
	return min(w.inst.Slots, max(1, w.inst.Connections/r.nodes()))
}

// nodes is the number of nodes that share the workers.
func (r *Reducer) nodes() int { return max(1, len(r.tenure.knownIncarnations)) }

// updateAllEligibility follows a change of the number of nodes, on which every worker's limit depends.
func (r *Reducer) updateAllEligibility() {
	if r.limitNodes == r.nodes() {
		return
	}
	r.limitNodes = r.nodes()
	for _, w := range r.workerOrder {
		r.updateEligibility(w)
	}
}

// addExecution counts one execution on the worker.
func (r *Reducer) addExecution(w *workerState) {
	w.running++
	w.breaker.probing = w.breaker.state == breakerHalfOpen
	r.updateEligibility(w)
}

// removeExecution ends the count of one execution on the worker.
func (r *Reducer) removeExecution(w *workerState) {
	w.running--
	w.breaker.probing = false
	r.updateEligibility(w)
}

// recordWorkerOutcome learns from the end of an execution.
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

// raiseLimits lets the node place more on the workers whose limits keep requests or tasks waiting.
func (r *Reducer) raiseLimits() {
	r.markBacklogged()
	for _, w := range r.workerOrder {
		if limit := r.workerLimit(w); w.pool.backlogged && w.running >= limit && limit < r.maxLimit(w) {
			r.raiseLimit(w, backlogLimitStep)
			r.updateEligibility(w)
		}
	}
}

// markBacklogged finds the pools in which work waits.
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

// workerRefused pauses the worker and places no more on it than it has just accepted.
func (r *Reducer) workerRefused(w *workerState) {
	w.limit = max(1, min(float64(w.running), w.limit*refusalLimitFactor))
	pause := min(refusalPause<<min(w.refusals, 10), maxRefusalPause)
	w.refusals++
	w.pausedUntil = max(w.pausedUntil, r.now.Mono+pause)
	r.pauseWorker(w)
}

// pauseWorker has the worker's pause checked at every tick.
func (r *Reducer) pauseWorker(w *workerState) {
	if !w.paused {
		w.paused = true
		r.pausedWorkers = append(r.pausedWorkers, w)
	}
	r.updateEligibility(w)
}

// tickWorkers ends the pauses that are over.
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

// chooseWorker picks an eligible worker of the pool, if possible outside the tried set.
func (r *Reducer) chooseWorker(pool string, tried []string) (beryllatch.Instance, bool) {
	w := r.poolOf(pool).choose(r.rand, r.now.Mono, tried)
	if w == nil {
		return beryllatch.Instance{}, false
	}
	return w.inst, true
}

// reportedLoad is the reported load, of which less counts as the report grows older: work ends and starts within
// milliseconds, and an old report would send all nodes to the same workers.
func (w *workerState) reportedLoad(now time.Duration) float64 {
	left := 1 - float64(now-w.reportedAt)/float64(reportTTL)
	return max(0, left) * float64(w.reportedRunning)
}

// score estimates the wait on the worker; lower is better.
func (w *workerState) score(now time.Duration) float64 {
	d := w.runTime
	if d <= 0 {
		d = assumedRunTime
	}
	return (float64(w.running+1) + w.reportedLoad(now)) * float64(d) * w.breaker.penalty(now)
}
