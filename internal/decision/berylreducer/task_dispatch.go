package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// troughShare is the part of a pool that stays free of work that can wait, so that bursts of requests find slots.
	troughShare = 4
	// pressingMargin is the reserve before the latest start at which a task no longer waits for a trough.
	pressingMargin = 5 * time.Minute
	// maxFailedOn is the number of distinct workers after which the job counts as failing.
	maxFailedOn = 3
	// maxRefusals bounds the attempts that no worker starts.
	maxRefusals = 50
	maxBackoff  = 30 * time.Second
)

// taskOutage reports whether rows of tasks cannot be expected to be written now.
func (r *Reducer) taskOutage() bool { return r.tenure.failing || !r.mayClaim() }

func (r *Reducer) makeReady(t *queuedTask) {
	t.phase = phaseQueued
	r.tasks.ready.add(t)
}

// requeue puts a task back that surely runs nowhere.
func (r *Reducer) requeue(t *queuedTask, pause time.Duration) {
	r.releaseTask(t)
	t.State = beryllatch.TaskQueued
	t.Instance, t.BootID, t.StartBy = "", "", time.Time{}
	t.phase = phaseResting
	t.next = r.now.Mono + pause
	if t.CancelRequested {
		r.finishTask(t, beryllatch.TaskCancelled, "")
		return
	}
	r.writeTask(t)
}

// backoff grows with the attempts of the task.
func backoff(t *queuedTask) time.Duration {
	return min(taskRetry<<min(t.Attempt, 6), maxBackoff)
}

// dispatchTasks starts ready tasks: the team with the least running per weight first, then the earliest deadline.
func (r *Reducer) dispatchTasks() {
	if !r.tasks.enabled || r.stopping || !r.mayStart() {
		return
	}
	blocked := map[readyKey]bool{}
	wanted := map[string]int{}
	for {
		k, ok := r.nextReady(blocked)
		if !ok {
			break
		}
		if !r.dispatchFirst(k, wanted) {
			blocked[k] = true
		}
	}
	r.demandUnits(wanted)
}

// nextReady picks the queue of tasks to serve next.
func (r *Reducer) nextReady(blocked map[readyKey]bool) (readyKey, bool) {
	var best readyKey
	found := false
	for _, k := range r.tasks.ready.keys() {
		if !blocked[k] && (!found || r.before(k, best)) {
			best, found = k, true
		}
	}
	return best, found
}

func (r *Reducer) before(a, b readyKey) bool {
	if a.team != b.team {
		x, y := r.share(a.team), r.share(b.team)
		if x != y {
			return x < y
		}
	}
	return byDeadline(r.tasks.ready[a][0], r.tasks.ready[b][0]) < 0
}

// share is the team's running work at this node relative to its weight.
func (r *Reducer) share(team string) float64 {
	u := r.units[team]
	if u == nil {
		return 0
	}
	return float64(u.running) / float64(max(r.config.Teams[team].Weight, 1))
}

// dispatchFirst starts the first task of the list that may start; false ends the turn of the list.
func (r *Reducer) dispatchFirst(k readyKey, wanted map[string]int) bool {
	for _, t := range r.tasks.ready[k] {
		if !r.settled(t) {
			continue
		}
		if reason := r.neverRuns(t); reason != "" {
			r.finishTask(t, beryllatch.TaskParked, reason)
			return true
		}
		if r.dispatchTask(t, wanted) {
			return true
		}
		if len(t.FailedOn) == 0 {
			return false
		}
	}
	return false
}

// settled reports whether the row of a ready task is stored as it is in memory; in an outage an idempotent task goes on
// without its row, and any other waits.
func (r *Reducer) settled(t *queuedTask) bool {
	if t.writing || t.reading || !r.owns(t.shard) {
		return false
	}
	if r.taskOutage() {
		return t.Idempotent
	}
	return !t.dirty && !t.uncertain
}

// neverRuns returns the reason why no worker can ever start the task.
func (r *Reducer) neverRuns(t *queuedTask) beryllatch.Reason {
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

func (r *Reducer) dispatchTask(t *queuedTask, wanted map[string]int) bool {
	pool := r.config.Queues[t.Queue].Pool
	if !r.pressing(t) && !r.trough(pool) {
		return false
	}
	i, ok := r.chooseTaskWorker(pool, t)
	if !ok {
		return false
	}
	if r.adoptedWithoutUnit(t.Team) > 0 || !r.takeUnit(t.Team) {
		free, _ := r.freeSlots(pool)
		wanted[t.Team] += min(free, len(r.tasks.ready[readyKey{t.Team, t.Queue}]))
		return false
	}
	t.holds, t.counted = true, true
	r.occupy(r.workers[i.ID])
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

// beginAttempt stores the worker of the attempt before anything is sent.
func (r *Reducer) beginAttempt(t *queuedTask, i beryllatch.Instance) {
	t.Attempt++
	t.State = beryllatch.TaskDispatching
	t.Instance, t.BootID = i.ID, r.workers[i.ID].bootID
	t.Fence = r.fence(t)
	t.StartBy = r.now.Wall.Add(min(startByLimit, r.tenure.until-r.now.Mono))
	t.phase = phaseWriting
	t.nextWrite = 0
	r.writeTask(t)
	if r.tasks.off.dispatchRow {
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

// sendTask starts the attempt, unless it may no longer start.
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

// mayReceive repeats the checks on the worker that may have changed since it was chosen.
func (r *Reducer) mayReceive(i beryllatch.Instance) bool {
	w := r.workers[i.ID]
	return w != nil && !w.leaving && !w.selfLeaving && i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		!r.config.DataCentres[i.DataCentre].Out
}

func (r *Reducer) execution(t *queuedTask) beryllatch.Execution {
	return beryllatch.Execution{
		ID: t.ID, Address: r.config.Instances[t.Instance].Address, Team: t.Team, Queue: t.Queue,
		StartBy: t.StartBy, LeaseExpiry: r.now.Wall.Add(taskLease), Fence: r.fence(t),
	}
}

// pressing reports whether the task must not wait for a trough.
func (r *Reducer) pressing(t *queuedTask) bool {
	reserve := pressingMargin + 2*r.expectedRunTime(t.Queue)
	return r.tasks.late[t.Queue] || !r.now.Wall.Add(reserve).Before(t.Deadline)
}

// trough reports whether the pool has more free slots than requests need in a burst.
func (r *Reducer) trough(pool string) bool {
	free, slots := r.freeSlots(pool)
	return free*troughShare > slots
}

// freeSlots counts the free and all slots of the pool's eligible workers.
func (r *Reducer) freeSlots(pool string) (free, slots int) {
	for _, i := range r.config.Instances {
		if i.Pool != pool {
			continue
		}
		slots += i.Slots
		if w := r.workers[i.ID]; w != nil && r.eligible(w) {
			free += max(0, i.Slots-max(w.running, w.reported))
		}
	}
	return free, slots
}

func (r *Reducer) adoptedWithoutUnit(team string) int {
	n := 0
	for _, t := range r.tasks.active {
		if t.Team == team && t.phase == phaseRunning && !t.holds {
			n++
		}
	}
	return n
}

// demandUnits tells the units of each team how many tasks wait for one.
func (r *Reducer) demandUnits(wanted map[string]int) {
	for _, t := range r.tasks.active {
		if t.phase == phaseRunning && !t.holds {
			wanted[t.Team]++
		}
	}
	for _, team := range beryllatch.SortedKeys(r.units) {
		u := r.units[team]
		u.waiting += wanted[team] - r.tasks.demand[team]
		r.tasks.demand[team] = wanted[team]
	}
}
