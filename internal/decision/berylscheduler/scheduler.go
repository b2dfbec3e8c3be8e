package berylscheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// leaseTime outlasts a change of the scheduling node, which takes up to 3 s.
	leaseTime = 4500 * time.Millisecond
	// clockDrift is by how much a worker's clock may be slow.
	clockDrift = 0.02
	// leaseExpiryMargin covers the rounding of clocks to milliseconds and late timers.
	leaseExpiryMargin = 150 * time.Millisecond
	// placeInterval bounds the passes over the waiting tasks; it is short beside the shortest task.
	placeInterval = 10 * time.Millisecond
	// placeIntervalPerJob lengthens the interval by ten times what a pass takes for an unfinished job, about 1 µs.
	placeIntervalPerJob = 20 * time.Microsecond
	// maxPendingStarts bounds the start orders in flight, so that a node short of processor time is not buried under time-outs.
	maxPendingStarts = 160
	// maxPendingStartsOnWorker leaves connections of a worker for holds and stops.
	maxPendingStartsOnWorker = 8
	// maxActiveJobs bounds the unfinished jobs: ten times what the largest measured burst leaves waiting.
	maxActiveJobs = 2500
)

// Limits are the deployment's figures that the scheduler keeps to.
type Limits struct {
	MaxLease time.Duration
	// HandoverPause is the least time between orders for an instance of two holders that are both in touch.
	HandoverPause time.Duration
	StopTimeout   time.Duration
	JobRetention  time.Duration
	RemoteFactor  float64
	// RestoreTime is how long a resumed task takes to load its checkpoint.
	RestoreTime time.Duration
	// InstanceOrders is how many orders for instances the platform takes a second, from all nodes together.
	InstanceOrders  float64
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	// RowBytes limits a row's value.
	RowBytes int
}

// Scheduler is the state of the scheduling node in one epoch.
type Scheduler struct {
	// Epoch is the fencing token of every order.
	Epoch int64
	// OwnerVersion is the version of the row that makes the node the scheduling one; each transaction requires it.
	OwnerVersion int64
	Limits       Limits
	// QuietInstances is how long no instance gets an order, since the predecessor may still be in touch.
	QuietInstances time.Duration

	now        time.Time
	startedAt  time.Time
	effects    []Effect
	deployment *beryllatch.Deployment
	operations beryllatch.Operations

	jobs map[string]*job
	// active holds the unfinished jobs in the order of acceptance.
	active []*job
	// finished holds the final jobs in the order of their ends.
	finished []*job
	// jobRowsToDelete holds the final jobs whose own rows are still stored.
	jobRowsToDelete []*job

	workers map[string]*worker
	// sortedWorkers holds the workers by ID, since the order of a map differs between runs.
	sortedWorkers []*worker
	// endedIncarnations holds the incarnations that have ended, by worker ID: their registrations no longer count.
	endedIncarnations map[string]int64
	teams             map[string]*teamUsage
	learnedDurations  map[string]*learnedDuration

	journal journal
	fleet   fleet
	advice  map[string]*stepAdvice
	// placementDue is true when a task may have become placeable since the last pass over them, at placed.
	placementDue  bool
	lastPlacement time.Time
	wakePending   bool
	// pendingStarts counts the start orders without an outcome.
	pendingStarts int
	// unsyncedPools holds the pools of the present pass with workers that have not told what they run.
	unsyncedPools map[string]bool
	// lossyUntil is until when answers of workers are likely to get lost.
	lossyUntil time.Time
	resigned   bool
}

// teamUsage is what a team has booked on all workers, and what is left of its share.
type teamUsage struct {
	used  beryllatch.Resources
	share teamShare
}

// Apply takes an event and returns what to do; the slice is valid until the next call.
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
	s.apply(e)
	s.placeIfDue()
	s.commit()
	return s.effects
}

// placeIfDue places waiting tasks, at most once in placeInterval: a pass looks at all waiting steps.
func (s *Scheduler) placeIfDue() {
	if !s.placementDue || s.deployment == nil || s.resigned {
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
		s.deployment = e.Deployment
		s.placementDue = true
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
	case AdviceReceived:
		s.adviceReceived(e)
	case Ticked:
		s.tick()
	case Woken:
		s.wakePending = false
		for _, w := range s.sortedWorkers {
			s.sendHoldIfDue(w)
		}
	}
}

// tick does what becomes due by time alone.
func (s *Scheduler) tick() {
	for _, w := range s.sortedWorkers {
		s.checkLease(w)
		s.repeatStops(w)
		if w.info.Draining {
			s.vacateOneTask(w)
		}
		s.sendHoldIfDue(w)
	}
	s.dropWorkers()
	for _, j := range s.active {
		s.openOccurrences(j)
	}
	s.deleteJobRows()
	s.expireJobs()
	s.tickFleet()
	s.expireAdvice()
	s.placementDue = true
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// resign ends the epoch; nothing is ordered after it.
func (s *Scheduler) resign(reason string) {
	if s.resigned {
		return
	}
	s.resigned = true
	s.emit(Resign{Reason: reason})
}

// team returns the use of a team's account.
func (s *Scheduler) team(name string) *teamUsage {
	t := s.teams[name]
	if t == nil {
		t = &teamUsage{}
		s.teams[name] = t
	}
	return t
}

// queueOf returns the queue of a job; a queue that the configuration no longer holds has no workers.
func (s *Scheduler) queueOf(j *job) (beryllatch.JobQueue, bool) {
	if s.deployment == nil {
		return beryllatch.JobQueue{}, false
	}
	q, ok := s.deployment.Queues[j.Queue]
	return q, ok
}

// leaseLength returns the length of the leases that the scheduler grants.
func (s *Scheduler) leaseLength() time.Duration { return min(leaseTime, s.Limits.MaxLease) }

// leaseExpiryBound returns how long after its grant a lease has surely run out.
func (s *Scheduler) leaseExpiryBound() time.Duration {
	return time.Duration(float64(s.leaseLength())/(1-clockDrift)) + leaseExpiryMargin
}

func (s *Scheduler) addWorker(w *worker) {
	s.workers[w.info.ID] = w
	s.fleet.workerByInstance = nil
	w.row = s.journal.workerRow(w.info.ID)
	i, _ := slices.BinarySearchFunc(s.sortedWorkers, w.info.ID, func(o *worker, id string) int { return strings.Compare(o.info.ID, id) })
	s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
}

// dropWorkers forgets workers that are neither registered nor may run anything.
func (s *Scheduler) dropWorkers() {
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		if w.registered || len(w.runs) > 0 || s.now.Before(w.leasesExpireBy) || !w.synced {
			return false
		}
		delete(s.workers, w.info.ID)
		s.fleet.workerByInstance = nil
		s.journal.setWorkerRow(w.info.ID, nil)
		return true
	})
}
