package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// taskState is a node's state of queued tasks. Everything that must survive the process is in rows of the table.
type taskState struct {
	// enabled is false on a node that takes no part in the ownership of shards.
	enabled bool
	// lastTenureAt is the last tick at which the node had a valid tenure.
	lastTenureAt time.Duration
	shards       [shardCount]shard
	// preferredOwners holds the owner that each shard should have, computed from the live nodes in assignedNodes.
	preferredOwners [shardCount]string
	assignedNodes   []Identity
	// liveScratch is reused storage for the live nodes that are compared with assignedNodes.
	liveScratch []Identity
	// readingShards is true while a ReadShards effect is in flight.
	readingShards bool
	nextShardRead time.Duration
	// tasks holds the loaded unfinished tasks of all owned shards, by id.
	tasks map[string]*queuedTask
	// active holds the loaded tasks that every tick must check.
	active map[string]*queuedTask
	ready  readyTasks
	calls  map[string]*taskCall
	// delayedReturns holds the units of tasks that this node no longer handles, but that may still run under a lease that
	// it granted.
	delayedReturns []delayedReturn
	// waitingUnits is the number of tasks without a unit, by team, that teamUnits.waiting includes.
	waitingUnits map[string]int
	// runTime is the learned run time of a task, by queue.
	runTime map[string]time.Duration
	// lateQueues holds, for each queue with a forecast, whether a task is expected to miss its deadline.
	lateQueues   map[string]bool
	nextForecast time.Duration
	// stopsInFlight is the number of StopTask effects in flight.
	stopsInFlight int
	// disabled disables single safety mechanisms; only tests set it.
	disabled struct{ fence, dispatchRow, expiry bool }
}

// taskPhase is the stage of a loaded task.
type taskPhase int

const (
	phaseQueued taskPhase = iota
	// phasePaused waits for the end of the pause before the next attempt.
	phasePaused
	// phaseWriting waits until the row is stored in the state dispatching.
	phaseWriting
	phaseSending
	phaseRunning
	// phaseQuerying asks the worker for the state of an attempt.
	phaseQuerying
	// phaseFencing makes a worker that has not received the attempt refuse it if it still arrives.
	phaseFencing
	phaseStopping
	phaseCollecting
	// phaseFinishing waits until the row is stored in a final state.
	phaseFinishing
)

// queuedTask is the state of a loaded task of an owned shard.
type queuedTask struct {
	beryllatch.Task
	shard   *shard
	version uint64
	phase   taskPhase
	// writing and reading mark a table call in flight; dirty marks a task that differs from its stored row.
	writing, reading, dirty bool
	// uncertain means that the stored row is unknown after a conflict or a write without an answer, and must be read.
	uncertain bool
	// calling is true while a call to the worker is in flight.
	calling bool
	// holdsUnit is true while the task holds a unit of its team, holdsSlot while it counts for a slot of its worker.
	holdsUnit, holdsSlot bool
	// formerUnitUsed is true for an adopted task whose lease was renewed once under the former owner's unit.
	formerUnitUsed bool
	nextStep       time.Duration
	nextWrite      time.Duration
	// leaseEnd is the latest time at which the worker may still run the task.
	leaseEnd  time.Duration
	startedAt time.Duration
}

// delayedReturn is a unit that stays in use until the worker is certain to have stopped the task.
type delayedReturn struct {
	team  string
	until time.Duration
}

const (
	taskLease    = 10 * time.Second
	leaseRenewal = 3 * time.Second
	taskRetry    = time.Second
	// maxLeaseAfterTenure bounds how long leases may last beyond the end of the tenure of the node that granted them; other
	// nodes reclaim its units only after that.
	maxLeaseAfterTenure = 60 * time.Second
	// adoptionLease is how long an adopted task may run on its former owner's unit after the end of that owner's last
	// lease. It covers the one lease that the new owner may grant before it holds a unit itself.
	adoptionLease = taskLease + skewAllowance
	// unresponsiveWorkerTimeout is how long a node waits for an unresponsive worker, after the end of the lease, before a
	// task that is not idempotent gets the state unknown.
	unresponsiveWorkerTimeout = 5 * time.Minute
)

func (r *Reducer) initTasks() {
	t := &r.tasks
	t.tasks = map[string]*queuedTask{}
	t.active = map[string]*queuedTask{}
	t.ready = readyTasks{}
	t.calls = map[string]*taskCall{}
	t.waitingUnits = map[string]int{}
	t.runTime = map[string]time.Duration{}
	t.lateQueues = map[string]bool{}
	for n := range t.shards {
		t.shards[n].Shard = n
		t.shards[n].tasks = map[string]*queuedTask{}
	}
}

// reduceTask applies the events of the tasks API and, by reduceOwnedTask, those of shards and queued tasks.
func (r *Reducer) reduceTask(e Event) {
	switch e := e.(type) {
	case TaskSubmitted:
		r.taskSubmitted(e)
	case PayloadReceived:
		r.payloadReceived(e)
	case PayloadFailed:
		r.payloadFailed(e)
	case SubmissionWritten:
		r.submissionWritten(e)
	case SubmissionRead:
		r.submissionRead(e)
	case TaskQueried:
		r.taskQueried(e)
	case TaskLookedUp:
		r.taskLookedUp(e)
	case CancelWritten:
		r.cancelWritten(e)
	case TaskResolveRequested:
		r.resolveRequested(e)
	case AttemptReported:
		r.attemptReported(e)
	case DecisionWritten:
		r.decisionWritten(e)
	default:
		r.reduceOwnedTask(e)
	}
}

// reduceOwnedTask applies the events of shards and their tasks. Each except ObjectsSwept may let further tasks start.
func (r *Reducer) reduceOwnedTask(e Event) {
	switch e := e.(type) {
	case ShardsEnabled:
		r.tasks.enabled = true
	case ShardsRead:
		r.shardsRead(e)
	case ShardWritten:
		r.shardWritten(e)
	case TasksLoaded:
		r.tasksLoaded(e)
	case ShardPolled:
		r.shardPolled(e)
	case ObjectsSwept:
		r.objectsSwept(e)
		return
	case TaskWritten:
		r.taskWritten(e)
	case TaskRowRead:
		r.taskRowRead(e)
	case TaskStarted:
		r.taskStarted(e)
	case TaskReported:
		r.taskReported(e)
	case ResultCollected:
		r.resultCollected(e)
	default:
		return
	}
	r.dispatchTasks()
}

func (r *Reducer) tickTasks() {
	if !r.tasks.enabled {
		return
	}
	if r.mayStart() {
		r.tasks.lastTenureAt = r.now.Mono
	}
	r.tickCalls()
	r.tickShards()
	r.tickDelayedReturns()
	r.countStopsInFlight()
	for _, id := range beryllatch.SortedKeys(r.tasks.active) {
		if t := r.tasks.active[id]; t != nil {
			r.stepTask(t)
		}
	}
	r.checkForecast()
	r.dispatchTasks()
}

// stepTask carries out the next step of a task, if it is due.
func (r *Reducer) stepTask(t *queuedTask) {
	r.flushTask(t)
	if t.calling || r.now.Mono < t.nextStep {
		return
	}
	switch t.phase {
	case phaseQueued:
		if !t.dirty && !t.uncertain && !t.writing && !t.reading {
			delete(r.tasks.active, t.ID)
		}
	case phasePaused:
		r.makeReady(t)
	case phaseRunning:
		r.renewTask(t)
	case phaseQuerying:
		r.queryTask(t)
	case phaseFencing, phaseStopping:
		r.stopTask(t)
	case phaseCollecting:
		r.collectResult(t)
	case phaseWriting:
		r.startWithoutRow(t)
	case phaseSending, phaseFinishing:
	}
}

// fence returns the fencing token of the task's attempt. Tokens grow with the epoch of the shard and the number of the
// attempt, so that a worker can refuse calls about an earlier attempt or of a former owner.
func (r *Reducer) fence(t *queuedTask) uint64 {
	if r.tasks.disabled.fence {
		return 1
	}
	return uint64(t.shard.Epoch)<<32 | uint64(uint32(t.Attempt))
}

// loadedTask returns the task that a result belongs to; nil if the result is of an earlier attempt or epoch.
func (r *Reducer) loadedTask(id string, fence uint64) *queuedTask {
	t := r.tasks.tasks[id]
	if t == nil || r.fence(t) != fence {
		return nil
	}
	return t
}

func (r *Reducer) activate(t *queuedTask) { r.tasks.active[t.ID] = t }

// dropTask removes a task from memory. Its unit stays in use while the worker may still run the task under this node's
// lease or the one lease that the next owner grants on this unit.
func (r *Reducer) dropTask(t *queuedTask) {
	if t.holdsUnit && t.leaseEnd > r.now.Mono {
		t.holdsUnit = false
		r.tasks.delayedReturns = append(r.tasks.delayedReturns, delayedReturn{t.Team, t.leaseEnd + skewAllowance + adoptionLease})
	}
	r.releaseTask(t)
	r.tasks.ready.remove(t)
	delete(r.tasks.active, t.ID)
	delete(r.tasks.tasks, t.ID)
	delete(t.shard.tasks, t.ID)
}

// releaseTask returns the unit and the worker slot of the task's attempt.
func (r *Reducer) releaseTask(t *queuedTask) {
	if t.holdsUnit {
		r.returnUnit(t.Team)
		t.holdsUnit = false
	}
	if w := r.workers[t.Instance]; w != nil && t.holdsSlot {
		r.removeExecution(w)
	}
	t.holdsSlot = false
}

// tickDelayedReturns returns the units whose leases have ended. The team's row must have been read after that, since it
// then shows the units that the next owners have taken beyond the ceiling for the same tasks.
func (r *Reducer) tickDelayedReturns() {
	kept := r.tasks.delayedReturns[:0]
	for _, l := range r.tasks.delayedReturns {
		u := r.units[l.team]
		if u != nil && (r.now.Mono < l.until || u.readAt < l.until) {
			u.needsRead = u.needsRead || r.now.Mono >= l.until
			kept = append(kept, l)
			continue
		}
		r.returnUnit(l.team)
	}
	r.tasks.delayedReturns = kept
}
