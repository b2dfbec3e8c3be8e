package berylscheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// leaseTime is longer than a change of the scheduling node, which takes up to 3 s, so that runs survive the change.
	leaseTime = 4500 * time.Millisecond
	// clockDrift is the largest share by which a worker's clock may run slow.
	clockDrift = 0.02
	// leaseExpiryMargin covers clocks rounded to milliseconds and late timers.
	leaseExpiryMargin = 150 * time.Millisecond
	// placeInterval is the least time between two passes over the waiting tasks; it is much less than the shortest task takes.
	placeInterval = 10 * time.Millisecond
	// placeIntervalPerJob lengthens placeInterval for each unfinished job. A pass takes about 1 µs for each; at 20 times that,
	// passes take about a twentieth of the time.
	placeIntervalPerJob = 20 * time.Microsecond
	// maxPendingStarts limits the start orders in flight. On a node that is short of processor time, more of them would only
	// add time-outs.
	maxPendingStarts = 160
	// maxPendingStartsOnWorker leaves connections to the worker for holds and stops.
	maxPendingStartsOnWorker = 8
	// maxActiveJobs limits the unfinished jobs; it is ten times the backlog of the largest expected burst.
	maxActiveJobs = 2500
)

// Limits are the limits and durations of the deployment that the scheduler depends on.
type Limits struct {
	MaxLease time.Duration
	// HandoverPause is the least time between the last instance order of one scheduling node and the first one of the next, if
	// both are connected to the platform.
	HandoverPause time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout  time.Duration
	JobRetention time.Duration
	// RemoteFactor is how many times longer a task takes on another rack than its data.
	RemoteFactor float64
	// RestoreTime is how long a resumed task takes to load its checkpoint.
	RestoreTime time.Duration
	// InstanceOrders is how many instance orders the platform accepts per second from all nodes together.
	InstanceOrders float64
	// MoveTime and MaintenanceTime are how long an instance is unavailable during a move and during maintenance.
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	// RowBytes is the size limit of a row's value in bytes.
	RowBytes int
	// JobBytes limits the estimated memory of the accepted jobs in bytes; 0 means that there is no limit.
	JobBytes int64
}

// Scheduler holds the state of the scheduling node in one epoch.
type Scheduler struct {
	// Epoch is the number of the epoch. The fences of orders to workers rise with it, and it is that of orders to instances: workers and
	// the platform reject orders of earlier epochs.
	Epoch int64
	// OwnerVersion is the version of the row that names the scheduling node. Each transaction requires it, so none succeeds
	// after another node has taken over.
	OwnerVersion int64
	Limits       Limits
	// InstanceOrderDelay is how long after its start the scheduler sends no instance orders, since orders of the previous
	// scheduling node may still be under way.
	InstanceOrderDelay time.Duration
	// PredecessorMayAct is true if the process of the previous scheduling node may still run, and has not released the role.
	PredecessorMayAct bool
	// ClaimedAt is when the transaction was sent that claimed the duty row; zero means at the first event.
	ClaimedAt time.Time

	now        time.Time
	startedAt  time.Time
	effects    []Effect
	deployment *beryllatch.Deployment
	operations beryllatch.Operations

	jobs map[string]*job
	// active holds the unfinished jobs, in the order of acceptance.
	active []*job
	// memory is the estimated memory of all jobs.
	memory jobMemory
	// heldBack holds the jobs whose stored rows can't be read.
	heldBack []*job
	// finished holds the final jobs, in the order in which they ended.
	finished []*job
	// jobRowsToDelete holds the final jobs whose job rows are still stored.
	jobRowsToDelete []*job

	workers map[string]*worker
	// sortedWorkers holds the workers sorted by ID. Decisions must not depend on the random order of a map, so that a session
	// can be replayed.
	sortedWorkers []*worker
	// endedIncarnations holds the last ended incarnation by worker ID; registrations of it or an earlier one are ignored.
	endedIncarnations map[string]int64
	teams             map[string]*teamUsage
	// sortedTeams holds the teams sorted by name.
	sortedTeams []*teamUsage
	// waiting holds the waiting steps as of the last tick; its memory is used again.
	waiting []candidate
	// capacity is the capacity that the teams share, and backlogs what waits for each pool; both as of the last tick.
	capacity beryllatch.Resources
	backlogs map[string]poolBacklog
	// classifiedAt is when classify last ran.
	classifiedAt time.Time
	admission    admission
	// reachableRates is the processor capacity in millicores that each pool has or could get from pools that don't need it.
	reachableRates map[string]float64
	// usableRates is the processor capacity in millicores of each pool's usable workers, overdue what their overdue steps may use.
	usableRates map[string]float64
	overdue     map[string]overdueAllowance
	// offered is the processor capacity in millicores that would keep up with the work that was submitted for each pool lately.
	offered map[string]int
	// overloadedSince holds the pools for which more work is submitted than they could serve.
	overloadedSince map[string]time.Time
	// meanWork is the moving average of the work of accepted jobs in millicore-seconds.
	meanWork float64
	// shared is true if the configuration has weights, by which a full fleet is divided between teams.
	shared bool
	// overloadLoggedAt is when overloaded pools and teams above their share were last logged.
	overloadLoggedAt time.Time
	learnedDurations map[string]*learnedDuration

	journal journal
	fleet   fleet
	advice  map[string]*stepAdvice
	// placementDue is true if a task may have become placeable since lastPlacement, the last pass over the waiting tasks.
	placementDue  bool
	lastPlacement time.Time
	wakePending   bool
	// pendingStarts counts the start orders in flight.
	pendingStarts int
	// unsyncedPools holds the pools with unsynced workers, as of the last check.
	unsyncedPools map[string]bool
	// unsyncedCapacity is the capacity of the unsynced workers, and unknownNeeds what the tasks need that may run there, by team.
	unsyncedCapacity beryllatch.Resources
	unknownNeeds     map[string]unknownNeeds
	// delayedHolds holds the workers whose next hold waits for completionBatchPause, the earliest first.
	delayedHolds []*worker
	// holdWakeAt is when the last requested wake for delayedHolds comes.
	holdWakeAt time.Time
	// listings counts the lists of workers that were applied.
	listings uint64
	// unstored holds the workers with completions that are not stored, or not acknowledged since.
	unstored []*worker
	// unsyncedHolds holds the fences of the holds for unsynced workers that are in flight.
	unsyncedHolds map[int64]bool
	// incarnations counts the incarnations of workers that have been seen in this epoch.
	incarnations int64
	// lossyUntil is the time until which answers of workers are likely to get lost.
	lossyUntil time.Time
	// lastEvent is when the last event was handled. confirmed is false from a pause of the process until there is a proof
	// of the epoch from after it, and confirming is true while one is requested from the store.
	lastEvent             time.Time
	confirmed, confirming bool
	// pausedUntil is when the last pause of the process ended.
	pausedUntil time.Time
	proof       epochProof
	resigned    bool
}

// teamUsage is the capacity that a team's runs use on all workers, and what is left of the team's share of jobs.
type teamUsage struct {
	used  beryllatch.Resources
	share teamShare
	// booked is the capacity reserved on workers for the team's runs; unlike used, it leaves out what fillers use of other runs'
	// capacity.
	booked beryllatch.Resources
	name   string
	// weight is the team's weight in the last configuration that had the team, 0 for teams that aren't subject to shares.
	weight float64
	// demand is what the team uses and waits for, usage the largest part of the fleet's capacity that it takes; both as of the last tick.
	demand beryllatch.Resources
	usage  float64
	// shareLimit is the part of the fleet's capacity up to which the team is within its fair share, as of the last tick.
	shareLimit float64
	// aboveShare is true if what the team runs and waits for exceeds shareLimit.
	aboveShare bool
	// lastCeiling is the team's ceiling in the last configuration that had the team.
	lastCeiling beryllatch.Resources
}

// Apply handles an event and returns the effects to carry out; the slice is valid until the next call.
func (s *Scheduler) Apply(now time.Time, e Event) []Effect {
	s.now = now
	clear(s.effects)
	s.effects = s.effects[:0]
	if s.resigned {
		return nil
	}
	if s.jobs == nil {
		s.start()
	}
	s.checkPause()
	s.apply(e)
	s.placeIfDue()
	s.commit()
	return s.effects
}

// placeIfDue places waiting tasks if one may have become placeable. It limits the rate, since each pass covers all waiting
// steps.
func (s *Scheduler) placeIfDue() {
	if !s.placementDue || s.deployment == nil || s.resigned || !s.mayAct() {
		return
	}
	if wait := placeInterval + time.Duration(len(s.active))*placeIntervalPerJob - s.now.Sub(s.lastPlacement); wait > 0 {
		if !s.wakePending {
			s.wakePending = true
			s.emit(WakeAfter{wait})
		}
		return
	}
	s.placementDue, s.lastPlacement = false, s.now
	s.place()
}

func (s *Scheduler) start() {
	s.startedAt = s.now
	s.confirmed = true
	s.proof.storeAt = s.ClaimedAt
	if s.ClaimedAt.IsZero() {
		s.proof.storeAt = s.now
	}
	s.jobs = make(map[string]*job)
	s.workers = make(map[string]*worker)
	s.endedIncarnations = make(map[string]int64)
	s.teams = make(map[string]*teamUsage)
	s.learnedDurations = make(map[string]*learnedDuration)
	s.advice = make(map[string]*stepAdvice)
	s.fleet = fleet{waves: make(map[int]*wave), orders: make(map[string]*instanceOrder)}
}

func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case Recovered:
		s.recover(e)
	case DeploymentChanged:
		if s.deployment != nil && e.Deployment.Version < s.deployment.Version {
			return
		}
		s.changeDeployment(e.Deployment)
	case OperationsChanged:
		s.operations = e.Operations
		s.updateWaves()
		s.placementDue = true
	case RegistryRead:
		s.readRegistry(e.Workers)
	case RegistryChanged:
		s.changeRegistry(e)
	case JobSubmitted:
		s.submit(e)
	case CancelRequested:
		s.cancel(e)
	case WorkerHeld:
		s.workerHeld(e)
	case StartEnded:
		s.startEnded(e)
	case StopEnded:
		s.stopEnded(e)
	case PaceEnded:
		s.paceEnded(e)
	case Committed:
		s.committed(e)
	case InstancesListed:
		s.instancesListed(e)
	case InstanceOrderEnded:
		s.instanceOrderEnded(e)
	case StatusWritten:
		s.statusWritten(e)
	case EpochConfirmed:
		s.epochConfirmed(e)
	case AdviceReceived:
		s.adviceReceived(e)
	case HeartbeatStored:
		s.heartbeatStored(e)
	case Ticked:
		s.proof.peersAt = e.PeersAt
		s.tick()
	case Woken:
		s.wakePending = false
		s.sendDelayedHolds()
	}
}

// tick does everything that depends on the time alone.
func (s *Scheduler) tick() {
	s.checkProof()
	if !s.confirmed {
		s.requestConfirmation()
	}
	for _, w := range s.sortedWorkers {
		s.checkLease(w)
		s.repeatStops(w)
		if w.info.Draining && s.mayAct() {
			s.vacateOneTask(w)
		}
		s.sendHoldIfDue(w)
	}
	s.dropWorkers()
	for _, j := range s.active {
		s.openSteps(j)
	}
	s.classify()
	s.reportOverload()
	s.deleteJobRows()
	s.expireJobs()
	s.tickFleet()
	s.expireAdvice()
	s.placementDue = true
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// resign ends the epoch on this node; the scheduler ignores all later events.
func (s *Scheduler) resign(reason string) {
	if s.resigned {
		return
	}
	s.resigned = true
	s.emit(Resign{Reason: reason})
}

// team returns the usage of a team.
func (s *Scheduler) team(name string) *teamUsage {
	t := s.teams[name]
	if t == nil {
		t = &teamUsage{name: name}
		s.teams[name] = t
		i, _ := slices.BinarySearchFunc(s.sortedTeams, name, func(o *teamUsage, name string) int { return strings.Compare(o.name, name) })
		s.sortedTeams = slices.Insert(s.sortedTeams, i, t)
	}
	return t
}

// leaseLength returns the length of the leases that the scheduler grants now, 0 for none. A successor counts the leases of workers that it
// can't reach as expired when the longest possible one has passed since it took over, which may have been right after provenAt.
func (s *Scheduler) leaseLength() time.Duration {
	return max(min(leaseTime, s.Limits.MaxLease-s.proofAge()), 0)
}

// expiryBound returns how long after its grant a lease of the given length has certainly expired on the worker, even if the worker's
// clock runs slow.
func expiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseExpiryMargin
}

func (s *Scheduler) addWorker(w *worker) {
	s.workers[w.info.ID] = w
	s.fleet.workerByInstance = nil
	w.row = s.journal.workerRow(w.info.ID)
	i, _ := slices.BinarySearchFunc(s.sortedWorkers, w.info.ID, func(o *worker, id string) int { return strings.Compare(o.info.ID, id) })
	s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
}

// dropWorkers removes workers that have no registration and certainly have no runs.
func (s *Scheduler) dropWorkers() {
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		if w.registered || len(w.runs) > 0 || s.mayHoldLease(w) || !w.synced {
			return false
		}
		delete(s.workers, w.info.ID)
		s.fleet.workerByInstance = nil
		s.journal.setWorkerRow(w.info.ID, nil)
		return true
	})
}
