package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// notPlaced is the place of a worker outside the index of eligible workers.
	notPlaced = -1
	// refusalRest is the pause after a worker's first refusal; each further refusal in a row doubles it, up to
	// maxRefusalRest. A worker of 8 slots that runs work of 2 s has a free slot every 250 ms: with pauses of up to 2 s,
	// 36 nodes left slots idle while urgent work waited 0.43 s.
	refusalRest    = 100 * time.Millisecond
	maxRefusalRest = 200 * time.Millisecond
	// runTimeWeight is the weight of the newest sample in a worker's mean run time.
	runTimeWeight = 0.1
	// reportLife is the age at which a worker's report no longer counts for the choice.
	reportLife = 250 * time.Millisecond
	// limitStep is added to a worker's limit for each answer while the limit is in use.
	limitStep = 0.02
	// waitStep is added at each tick while work waits for the worker. Answers alone would raise the limit in hours where
	// executions take a minute.
	waitStep = 0.05
	// limitCut multiplies the limit on a refusal.
	limitCut = 0.5
	// assumedRunTime stands for the run time of a worker without samples.
	assumedRunTime = 100 * time.Millisecond
)

// workerState is what the node knows about one worker.
type workerState struct {
	inst beryllatch.Instance
	pool *poolState
	tier tier
	// place is the position in the index of eligible workers.
	place int
	// running counts this node's executions on the worker that have not ended.
	running   int
	leaving   bool
	listed    bool
	unhealthy bool
	bootID    string
	// selfLeaving is true when the worker itself said that it leaves.
	selfLeaving bool
	// reported is the load from all nodes in the worker's last report.
	reported   int
	reportedAt time.Duration
	runTime    time.Duration
	// limit is the number of executions that this node places on the worker; refusals lower it.
	limit    float64
	refusals int
	breaker  breaker
	// restUntil is the end of the pause after refusals or of the open time of the breaker.
	restUntil time.Duration
	resting   bool
}

// adoptWorkers brings the workers and the index of eligible workers in line with the configuration.
func (r *Reducer) adoptWorkers() {
	r.dropWorkers()
	for _, p := range r.pools {
		p.tiers = [tiers]workerSet{}
		p.size, p.open = 0, 0
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
		w.retire(r.poolOf(""))
		if w.running == 0 {
			delete(r.workers, id)
		}
	}
}

// retire takes a worker that has left the configuration out of every pool; its running executions still count.
func (w *workerState) retire(p *poolState) {
	w.inst = beryllatch.Instance{ID: w.inst.ID}
	w.pool = p
	w.breaker = breaker{}
}

func (r *Reducer) adoptWorker(w *workerState, id string) {
	w.place = notPlaced
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
		w.pool.open++
	}
	r.place(w)
}

func (r *Reducer) instancesListed(e InstancesListed) {
	for _, w := range r.workerOrder {
		status, ok := e.Instances[w.inst.Address]
		w.listed, w.leaving = ok, status.Leaving
		r.place(w)
	}
}

func (r *Reducer) workerReported(e WorkerReported) {
	w := r.workers[e.Instance]
	if w == nil {
		return
	}
	w.unhealthy, w.selfLeaving = !e.Healthy, e.Leaving
	w.bootID = e.BootID
	w.reported, w.reportedAt = e.Running, r.now.Mono
	r.place(w)
	r.dispatchPool(w.pool)
}

// place adds the worker to the index of eligible workers or takes it out.
func (r *Reducer) place(w *workerState) {
	ok := r.eligible(w)
	switch {
	case ok && w.place == notPlaced:
		w.pool.tiers[w.tier].add(w)
	case !ok && w.place != notPlaced:
		w.pool.tiers[w.tier].remove(w)
	}
}

// eligible reports whether new work may go to the worker.
func (r *Reducer) eligible(w *workerState) bool {
	i := &w.inst
	return i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		!r.config.DataCentres[i.DataCentre].Out &&
		(!w.leaving && !w.selfLeaving || r.faults.ignoreLeaving) && !w.unhealthy &&
		w.breaker.state != breakerOpened && !w.breaker.probing &&
		r.now.Mono >= w.restUntil && w.running < r.workerLimit(w)
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

// placeAll follows a change of the number of nodes, on which every worker's limit depends.
func (r *Reducer) placeAll() {
	if r.placedFor == r.nodes() {
		return
	}
	r.placedFor = r.nodes()
	for _, w := range r.workerOrder {
		r.place(w)
	}
}

// occupy counts one execution on the worker.
func (r *Reducer) occupy(w *workerState) {
	w.running++
	w.breaker.probing = w.breaker.state == breakerHalfOpen
	r.place(w)
}

// vacate ends the count of one execution on the worker.
func (r *Reducer) vacate(w *workerState) {
	w.running--
	w.breaker.probing = false
	r.place(w)
}

// scoreWorker learns from the end of an execution.
func (r *Reducer) scoreWorker(w *workerState, q *request, e ExecutionEnded) {
	switch {
	case e.Outcome == beryllatch.OutcomeRefused:
		r.workerRefused(w)
	case e.Outcome == beryllatch.OutcomeAnswered && !e.Failed:
		r.workerAnswered(w, e.Duration)
	case !q.abandoned:
		r.workerFailed(w, q.team)
	}
	r.place(w)
}

func (r *Reducer) workerAnswered(w *workerState, d time.Duration) {
	r.workerSucceeded(w)
	w.refusals = 0
	if w.runTime == 0 {
		w.runTime = d
	}
	w.runTime += time.Duration(runTimeWeight * float64(d-w.runTime))
	if w.running+1 >= r.workerLimit(w) {
		r.raiseLimit(w, limitStep)
	}
}

// raiseLimits lets the node place more on the workers whose limits keep requests or tasks waiting.
func (r *Reducer) raiseLimits() {
	r.markPressed()
	for _, w := range r.workerOrder {
		if limit := r.workerLimit(w); w.pool.pressed && w.running >= limit && limit < r.maxLimit(w) {
			r.raiseLimit(w, waitStep)
			r.place(w)
		}
	}
}

// markPressed finds the pools in which work waits.
func (r *Reducer) markPressed() {
	for _, p := range r.pools {
		p.pressed = p.queue.len() > 0
	}
	for k := range r.tasks.ready {
		r.poolOf(r.config.Queues[k.queue].Pool).pressed = true
	}
}

func (r *Reducer) raiseLimit(w *workerState, step float64) {
	limit := r.workerLimit(w)
	w.limit = min(max(w.limit, float64(limit))+step, float64(r.maxLimit(w)))
}

// workerRefused pauses the worker and places no more on it than it has just accepted.
func (r *Reducer) workerRefused(w *workerState) {
	w.limit = max(1, min(float64(w.running), w.limit*limitCut))
	pause := min(refusalRest<<min(w.refusals, 10), maxRefusalRest)
	w.refusals++
	w.restUntil = max(w.restUntil, r.now.Mono+pause)
	r.rest(w)
}

// rest has the worker's pause checked at every tick.
func (r *Reducer) rest(w *workerState) {
	if !w.resting {
		w.resting = true
		r.resting = append(r.resting, w)
	}
	r.place(w)
}

// tickWorkers ends the pauses that are over.
func (r *Reducer) tickWorkers() {
	r.placeAll()
	r.raiseLimits()
	kept := r.resting[:0]
	for _, w := range r.resting {
		if w.breaker.state == breakerOpened && r.now.Mono >= w.breaker.until {
			r.setBreaker(w, breakerHalfOpen)
		}
		w.resting = w.breaker.state == breakerOpened || r.now.Mono < w.restUntil
		if w.resting {
			kept = append(kept, w)
			continue
		}
		r.place(w)
	}
	clear(r.resting[len(kept):])
	r.resting = kept
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
	left := 1 - float64(now-w.reportedAt)/float64(reportLife)
	return max(0, left) * float64(w.reported)
}

// score estimates the wait on the worker; lower is better.
func (w *workerState) score(now time.Duration) float64 {
	d := w.runTime
	if d <= 0 {
		d = assumedRunTime
	}
	return (float64(w.running+1) + w.reportedLoad(now)) * float64(d) * w.breaker.penalty(now)
}
