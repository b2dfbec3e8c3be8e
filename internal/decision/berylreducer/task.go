package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// taskState is what a node holds about queued tasks; rows in the table hold everything that must last.
type taskState struct {
	// enabled is false on a node that owns no shards.
	enabled bool
	// freshAt is the last time at which the node was allowed to start work.
	freshAt time.Duration
	shards  [shardCount]shard
	// preferred is the owner that each shard should have, spread over the nodes in spreadOver.
	preferred  [shardCount]string
	spreadOver []Identity
	// live is the storage of the next comparison with spreadOver.
	live []Identity
	// readingShards is true while a ReadShards effect is in flight.
	readingShards bool
	nextShardRead time.Duration
	// tasks holds the loaded unfinished tasks of all owned shards.
	tasks map[string]*queuedTask
	// active holds the loaded tasks that need a look at every tick.
	active map[string]*queuedTask
	ready  readyTasks
	calls  map[string]*taskCall
	// leftUnits holds units of tasks that may still run under a lease granted here.
	leftUnits []leftUnit
	demand    map[string]int
	runTime   map[string]time.Duration
	late      map[string]bool
	nextCheck time.Duration
	stopsSent int
	// off switches single mechanisms off in tests.
	off struct{ fence, dispatchRow, lapse bool }
}

// taskPhase is the next thing that a loaded task needs.
type taskPhase int

const (
	phaseQueued taskPhase = iota
	// phaseResting waits for the end of a pause before the next attempt.
	phaseResting
	// phaseWriting waits for the row that says dispatching.
	phaseWriting
	phaseSending
	phaseRunning
	// phaseAsking has an attempt of unknown state at a worker.
	phaseAsking
	// phaseFencing makes a worker that has not seen the attempt refuse a late send of it.
	phaseFencing
	phaseStopping
	phaseCollecting
	// phaseFinishing waits for the row of the final state.
	phaseFinishing
)

// queuedTask is a loaded task of an owned shard.
type queuedTask struct {
	beryllatch.Task
	shard   *shard
	version uint64
	phase   taskPhase
	// writing and reading mark a table call in flight; dirty marks a row that differs from the stored one.
	writing, reading, dirty bool
	// uncertain marks a write whose answer was lost.
	uncertain bool
	// calling marks a worker call in flight.
	calling bool
	// holds marks a unit of the team, counted a slot of the worker.
	holds, counted bool
	// lent marks an adopted task whose lease was renewed once under the unit of its former owner.
	lent      bool
	next      time.Duration
	nextWrite time.Duration
	// leaseEnd is the latest time at which the worker may still run the task.
	leaseEnd time.Duration
	started  time.Duration
}

// leftUnit is a unit that stays taken until the worker has surely stopped.
type leftUnit struct {
	team  string
	until time.Duration
}

const (
	taskLease    = 10 * time.Second
	leaseRenewal = 3 * time.Second
	taskRetry    = time.Second
	// lapsedLease is how long after the end of its tenure a node's leases may last; units are reclaimed after it.
	lapsedLease = 60 * time.Second
	// adoptionLease is how long a task may run on its former owner's unit after that owner's last lease: the one lease
	// that an adopter grants before it holds a unit itself.
	adoptionLease = taskLease + skewAllowance
	// workerSilence is the wait for a silent worker before a non-idempotent task counts as unknown.
	workerSilence = 5 * time.Minute
	finishedKept  = 24 * time.Hour
)

func (r *Reducer) startTasks() {
	t := &r.tasks
	t.tasks = map[string]*queuedTask{}
	t.active = map[string]*queuedTask{}
	t.ready = readyTasks{}
	t.calls = map[string]*taskCall{}
	t.demand = map[string]int{}
	t.runTime = map[string]time.Duration{}
	t.late = map[string]bool{}
	for n := range t.shards {
		t.shards[n].Shard = n
		t.shards[n].tasks = map[string]*queuedTask{}
	}
}

// reduceTask applies the events of queued tasks.
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
		r.taskAsked(e)
	case TaskLookedUp:
		r.taskLookedUp(e)
	case CancelWritten:
		r.cancelWritten(e)
	case TaskResolveRequested:
		r.taskResolveAsked(e)
	case AttemptReported:
		r.attemptReported(e)
	case DecisionWritten:
		r.decisionWritten(e)
	default:
		r.reduceOwnedTask(e)
	}
}

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
		r.tasks.freshAt = r.now.Mono
	}
	r.tickCalls()
	r.tickShards()
	r.endLeftUnits()
	r.countStops()
	for _, id := range beryllatch.SortedKeys(r.tasks.active) {
		if t := r.tasks.active[id]; t != nil {
			r.stepTask(t)
		}
	}
	r.checkForecast()
	r.dispatchTasks()
}

// stepTask does what the task needs now.
func (r *Reducer) stepTask(t *queuedTask) {
	r.flushTask(t)
	if t.calling || r.now.Mono < t.next {
		return
	}
	switch t.phase {
	case phaseQueued:
		if !t.dirty && !t.uncertain && !t.writing && !t.reading {
			delete(r.tasks.active, t.ID)
		}
	case phaseResting:
		r.makeReady(t)
	case phaseRunning:
		r.renewTask(t)
	case phaseAsking:
		r.askTask(t)
	case phaseFencing, phaseStopping:
		r.stopTask(t)
	case phaseCollecting:
		r.collectResult(t)
	case phaseWriting:
		r.startWithoutRow(t)
	case phaseSending, phaseFinishing:
	}
}

// fence orders the attempts of a task across all owners of its shard.
func (r *Reducer) fence(t *queuedTask) uint64 {
	if r.tasks.off.fence {
		return 1
	}
	return uint64(t.shard.Epoch)<<32 | uint64(uint32(t.Attempt))
}

// loadedTask returns the task that an answer belongs to, unless a later attempt or owner has replaced it.
func (r *Reducer) loadedTask(id string, fence uint64) *queuedTask {
	t := r.tasks.tasks[id]
	if t == nil || r.fence(t) != fence {
		return nil
	}
	return t
}

func (r *Reducer) activate(t *queuedTask) { r.tasks.active[t.ID] = t }

// dropTask forgets a task; its unit stays taken while the worker may still run it on this unit.
func (r *Reducer) dropTask(t *queuedTask) {
	if t.holds && t.leaseEnd > r.now.Mono {
		t.holds = false
		r.tasks.leftUnits = append(r.tasks.leftUnits, leftUnit{t.Team, t.leaseEnd + skewAllowance + adoptionLease})
	}
	r.releaseTask(t)
	r.tasks.ready.remove(t)
	delete(r.tasks.active, t.ID)
	delete(r.tasks.tasks, t.ID)
	delete(t.shard.tasks, t.ID)
}

// releaseTask gives back the unit and the worker slot of the task's attempt.
func (r *Reducer) releaseTask(t *queuedTask) {
	if t.holds {
		r.returnUnit(t.Team)
		t.holds = false
	}
	if w := r.workers[t.Instance]; w != nil && t.counted {
		r.vacate(w)
	}
	t.counted = false
}

// endLeftUnits returns the units once a later read of the row shows what adopters hold beyond the ceiling.
func (r *Reducer) endLeftUnits() {
	kept := r.tasks.leftUnits[:0]
	for _, l := range r.tasks.leftUnits {
		u := r.units[l.team]
		if u != nil && (r.now.Mono < l.until || u.readAt < l.until) {
			u.wanted = u.wanted || r.now.Mono >= l.until
			kept = append(kept, l)
			continue
		}
		r.returnUnit(l.team)
	}
	r.tasks.leftUnits = kept
}
