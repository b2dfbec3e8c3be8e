package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// burstReserveDivisor keeps one slot in four of a pool free of tasks that can wait, for bursts of requests.
	burstReserveDivisor = 4
	// dueSoonMargin is the time reserve before a deadline: a task whose deadline is nearer than this plus twice its
	// expected run time no longer waits for spare slots.
	dueSoonMargin = 5 * time.Minute
	// maxFailedOn is the number of distinct workers on which a task fails before it is parked.
	maxFailedOn = 3
	// maxRefusals bounds the attempts of a task that workers refuse or that cannot be sent; after that the task is parked.
	maxRefusals = 50
	maxBackoff  = 30 * time.Second
)

// taskOutage reports whether task rows probably cannot be written now: the last renewal has failed, or the node has no
// tenure of its own.
func (r *Reducer) taskOutage() bool { return r.tenure.renewalFailing || !r.mayClaim() }

func (r *Reducer) makeReady(t *queuedTask) {
	t.phase = phaseQueued
	r.tasks.ready.add(t)
}

// requeue returns a task to the queue after a pause; the task must be certain not to run anywhere.
func (r *Reducer) requeue(t *queuedTask, pause time.Duration) {
	r.releaseTask(t)
	t.State = beryllatch.TaskQueued
	t.Instance, t.BootID, t.StartBy = "", "", time.Time{}
	t.phase = phasePaused
	t.nextStep = r.now.Mono + pause
	if t.CancelRequested {
		r.finishTask(t, beryllatch.TaskCancelled, "")
		return
	}
	r.writeTask(t)
}

// backoff is the pause before the next attempt; it doubles with each attempt, up to maxBackoff.
func backoff(t *queuedTask) time.Duration {
	return min(taskRetry<<min(t.Attempt, 6), maxBackoff)
}

// dispatchTasks starts ready tasks. The team with the least running work in relation to its weight comes first, and within
// a team the task with the earliest deadline.
func (r *Reducer) dispatchTasks() {
	if !r.tasks.enabled || r.stopping || !r.mayStart() {
		return
	}
	blocked := map[readyKey]bool{}
	waiting := map[string]int{}
	for {
		k, ok := r.nextReady(blocked)
		if !ok {
			break
		}
		if !r.dispatchFirst(k, waiting) {
			blocked[k] = true
		}
	}
	r.updateWaitingUnits(waiting)
}

// nextReady picks the list of ready tasks to serve next.
func (r *Reducer) nextReady(blocked map[readyKey]bool) (readyKey, bool) {
	var best readyKey
	found := false
	for _, k := range r.tasks.ready.keys() {
		if !blocked[k] && (!found || r.servedBefore(k, best)) {
			best, found = k, true
		}
	}
	return best, found
}

// servedBefore reports whether the first task of list a starts before that of list b. The team with less running work in
// relation to its weight comes first; within a team, and if both teams have as much, the earlier deadline decides.
func (r *Reducer) servedBefore(a, b readyKey) bool {
	if a.team != b.team {
		x, y := r.weightedRunning(a.team), r.weightedRunning(b.team)
		if x != y {
			return x < y
		}
	}
	return byDeadline(r.tasks.ready[a][0], r.tasks.ready[b][0]) < 0
}

// weightedRunning is the team's running work at this node, divided by its weight.
func (r *Reducer) weightedRunning(team string) float64 {
	u := r.units[team]
	if u == nil {
		return 0
	}
	return float64(u.running) / float64(max(r.config.Teams[team].Weight, 1))
}

// dispatchFirst starts the first task of the list that can start, or parks one that can never run. False means that the
// list cannot be served now.
func (r *Reducer) dispatchFirst(k readyKey, waiting map[string]int) bool {
	for _, t := range r.tasks.ready[k] {
		if !r.mayDispatch(t) {
			continue
		}
		if reason := r.unrunnableReason(t); reason != "" {
			r.finishTask(t, beryllatch.TaskParked, reason)
			return true
		}
		if r.dispatchTask(t, waiting) {
			return true
		}
		if len(t.FailedOn) == 0 {
			return false
		}
	}
	return false
}

// mayDispatch reports whether a ready task may be dispatched: only when its row is stored as it is in memory. In an outage
// an idempotent task may be dispatched without that, and any other waits.
func (r *Reducer) mayDispatch(t *queuedTask) bool {
	if t.writing || t.reading || !r.owns(t.shard) {
		return false
	}
	if r.taskOutage() {
		return t.Idempotent
	}
	return !t.dirty && !t.uncertain
}

// unrunnableReason returns why the task must be parked: the configuration no longer allows it, too many attempts were refused,
// or it has failed on every worker. It is empty if the task may run.
func (r *Reducer) unrunnableReason(t *queuedTask) beryllatch.Reason {
	q, ok := r.config.Queues[t.Queue]
	switch {
	case !ok:
		return beryllatch.ReasonUnknownQueue
	case q.Team != "" && q.Team != t.Team:
		return beryllatch.ReasonForbiddenQueue
	case t.Team != "" && r.config.Teams[t.Team].Name == "":
		return beryllatch.ReasonUnauthorized
	case t.Refusals >= maxRefusals:
		return beryllatch.ReasonWorkerRefused
	case r.failedEverywhere(t, q.Pool):
		return beryllatch.ReasonJobFailing
	}
	return ""
}

// failedEverywhere reports whether the job has failed on every worker of the pool.
func (r *Reducer) failedEverywhere(t *queuedTask, pool string) bool {
	if len(t.FailedOn) == 0 {
		return false
	}
	for _, i := range r.config.Instances {
		if i.Pool == pool && !slices.Contains(t.FailedOn, i.ID) {
			return false
		}
	}
	return true
}

// dispatchTask starts the task if there are a worker and a unit for it, and reports whether it has. If only the unit is missing,
// it adds to the team's entry in waiting the number of tasks of the list for which there are free slots.
func (r *Reducer) dispatchTask(t *queuedTask, waiting map[string]int) bool {
	pool := r.config.Queues[t.Queue].Pool
	if !r.dueSoon(t) && !r.hasSpareSlots(pool) {
		return false
	}
	i, ok := r.chooseTaskWorker(pool, t)
	if !ok {
		return false
	}
	if r.countAdoptedWithoutUnit(t.Team) > 0 || !r.takeUnit(t.Team) {
		free, _ := r.freeSlots(pool)
		waiting[t.Team] += min(free, len(r.tasks.ready[readyKey{t.Team, t.Queue}]))
		return false
	}
	t.holdsUnit, t.holdsSlot = true, true
	r.addExecution(r.workers[i.ID])
	r.tasks.ready.remove(t)
	r.beginAttempt(t, i)
	return true
}

// chooseTaskWorker picks a worker whose boot id is known and on which the job has not failed.
func (r *Reducer) chooseTaskWorker(pool string, t *queuedTask) (beryllatch.Instance, bool) {
	tried := slices.Clone(t.FailedOn)
	for {
		i, ok := r.chooseWorker(pool, tried)
		if !ok || slices.Contains(tried, i.ID) {
			return i, false
		}
		if r.workers[i.ID].bootID != "" {
			return i, true
		}
		tried = append(tried, i.ID)
	}
}

// beginAttempt assigns the task to a worker and stores that in the row before anything is sent to the worker.
func (r *Reducer) beginAttempt(t *queuedTask, i beryllatch.Instance) {
	t.Attempt++
	t.State = beryllatch.TaskDispatching
	t.Instance, t.BootID = i.ID, r.workers[i.ID].bootID
	t.Fence = r.fence(t)
	t.StartBy = r.now.Wall.Add(min(startByLimit, r.tenure.validUntil-r.now.Mono))
	t.phase = phaseWriting
	t.nextWrite = 0
	r.writeTask(t)
	if r.tasks.disabled.dispatchRow {
		r.sendTask(t)
		return
	}
	if r.taskOutage() {
		r.startWithoutRow(t)
	}
}

// startWithoutRow sends an idempotent task whose row cannot be written in an outage.
func (r *Reducer) startWithoutRow(t *queuedTask) {
	if t.phase == phaseWriting && r.taskOutage() && t.Idempotent {
		r.sendTask(t)
	}
}

// sendTask sends the attempt to its worker, unless it may no longer start.
func (r *Reducer) sendTask(t *queuedTask) {
	i := r.config.Instances[t.Instance]
	if !r.mayStart() || !r.now.Wall.Before(t.StartBy) || !r.owns(t.shard) || t.CancelRequested || !r.mayReceive(i) {
		r.requeue(t, taskRetry)
		return
	}
	t.phase = phaseSending
	t.calling = true
	e := r.execution(t)
	t.leaseEnd = r.now.Mono + taskLease
	r.emit(StartTask{
		ID: t.ID, Shard: t.shard.Shard, Execution: e, PayloadRow: t.PayloadRow, PayloadObject: t.PayloadObject,
	})
}

// mayReceive reports whether the worker may still receive work, since its state may have changed after it was chosen.
func (r *Reducer) mayReceive(i beryllatch.Instance) bool {
	w := r.workers[i.ID]
	return w != nil && !w.listedLeaving && !w.reportedLeaving && i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		!r.config.DataCentres[i.DataCentre].Out
}

func (r *Reducer) execution(t *queuedTask) beryllatch.Execution {
	return beryllatch.Execution{
		ID: t.ID, Address: r.config.Instances[t.Instance].Address, Team: t.Team, Queue: t.Queue,
		StartBy: t.StartBy, LeaseExpiry: r.now.Wall.Add(taskLease), Fence: r.fence(t),
	}
}

// dueSoon reports whether the task must not wait for spare slots, as it could miss its deadline.
func (r *Reducer) dueSoon(t *queuedTask) bool {
	reserve := dueSoonMargin + 2*r.expectedRunTime(t.Queue)
	return r.tasks.lateQueues[t.Queue] || !r.now.Wall.Add(reserve).Before(t.Deadline)
}

// hasSpareSlots reports whether the pool has more free slots than it reserves for bursts of requests.
func (r *Reducer) hasSpareSlots(pool string) bool {
	free, slots := r.freeSlots(pool)
	return free*burstReserveDivisor > slots
}

// freeSlots counts the free slots of the pool's eligible workers, and all slots of the pool.
func (r *Reducer) freeSlots(pool string) (free, slots int) {
	for _, i := range r.config.Instances {
		if i.Pool != pool {
			continue
		}
		slots += i.Slots
		if w := r.workers[i.ID]; w != nil && r.eligible(w) {
			free += max(0, i.Slots-max(w.running, w.reportedRunning))
		}
	}
	return free, slots
}

// countAdoptedWithoutUnit counts the team's running tasks that still run on the unit of their former owner.
func (r *Reducer) countAdoptedWithoutUnit(team string) int {
	n := 0
	for _, t := range r.tasks.active {
		if t.Team == team && t.phase == phaseRunning && !t.holdsUnit {
			n++
		}
	}
	return n
}

// updateWaitingUnits adds the tasks that need a unit to each team's count of waiting work.
func (r *Reducer) updateWaitingUnits(waiting map[string]int) {
	for _, t := range r.tasks.active {
		if t.phase == phaseRunning && !t.holdsUnit {
			waiting[t.Team]++
		}
	}
	for _, team := range beryllatch.SortedKeys(r.units) {
		u := r.units[team]
		u.waiting += waiting[team] - r.tasks.waitingUnits[team]
		r.tasks.waitingUnits[team] = waiting[team]
	}
}
