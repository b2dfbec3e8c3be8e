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
	// leaseMargin covers the rounding of clocks to milliseconds and late timers.
	leaseMargin = 150 * time.Millisecond
	// placeInterval bounds the passes over the waiting tasks; it is short beside the shortest task.
	placeInterval = 10 * time.Millisecond
	// placeCost lengthens the interval by ten times what a pass takes for an unfinished job, about 1 µs.
	placeCost = 20 * time.Microsecond
	// maxStarting bounds the start orders in flight, so that a node short of processor time is not buried under time-outs.
	maxStarting = 160
	// maxStartingOnWorker leaves connections of a worker for holds and stops.
	maxStartingOnWorker = 8
	// maxActive bounds the unfinished jobs: ten times what the largest measured burst leaves waiting.
	maxActive = 2500
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
	// InstanceOrderDelay is how long no instance gets an order, since the predecessor may still be in touch.
	InstanceOrderDelay time.Duration

	now        time.Time
	began      time.Time
	effects    []Effect
	deployment *beryllatch.Deployment
	operations beryllatch.Operations

	jobs map[string]*job
	// active holds the unfinished jobs in the order of acceptance.
	active []*job
	// finished holds the final jobs in the order of their ends.
	finished []*job
	// lingering holds the final jobs whose own rows are still stored.
	lingering []*job

	workers map[string]*worker
	// ordered holds the workers by ID, since the order of a map differs between runs.
	ordered []*worker
	// over holds the incarnations that have ended, by worker ID: their registrations no longer count.
	over    map[string]int64
	teams   map[string]*teamUse
	learned map[string]*runTime

	journal journal
	fleet   fleet
	advice  map[string]*stepAdvice
	// placeable is true when a task may have become placeable since the last pass over them, at placed.
	placeable bool
	placed    time.Time
	waking    bool
	// starting counts the start orders without an outcome.
	starting int
	// unsettled holds the pools of the present pass with workers that have not told what they run.
	unsettled map[string]bool
	// lossUntil is until when answers of workers are likely to get lost.
	lossUntil time.Time
	resigned  bool
}

// teamUse is what a team has booked on all workers, and what is left of its share.
type teamUse struct {
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
	s.placeSoon()
	s.commit()
	return s.effects
}

// placeSoon places waiting tasks, at most once in placeInterval: a pass looks at all waiting steps.
func (s *Scheduler) placeSoon() {
	if !s.placeable || s.deployment == nil || s.resigned {
		return
	}
	if wait := placeInterval + time.Duration(len(s.active))*placeCost - s.now.Sub(s.placed); wait > 0 {
		if !s.waking {
			s.waking = true
			s.emit(WakeAfter{wait})
		}
		return
	}
	s.placeable, s.placed = false, s.now
	s.place()
}

func (s *Scheduler) start() {
	s.began = s.now
	s.jobs = make(map[string]*job)
	s.workers = make(map[string]*worker)
	s.over = make(map[string]int64)
	s.teams = make(map[string]*teamUse)
	s.learned = make(map[string]*runTime)
	s.advice = make(map[string]*stepAdvice)
	s.fleet = fleet{waves: make(map[int]*wave), orders: make(map[string]*instanceOrder)}
}

func (s *Scheduler) apply(e Event) {
	switch e := e.(type) {
	case Recovered:
		s.recover(e)
	case DeploymentChanged:
		s.deployment = e.Deployment
		s.placeable = true
	case OperationsChanged:
		s.operations = e.Operations
		s.noteWaves()
		s.placeable = true
	case RegistryRead:
		s.readRegistry(e.Workers)
	case RegistryChanged:
		s.changeRegistry(e)
	case JobSubmitted:
		s.submit(e)
	case CancelRequested:
		s.cancel(e)
	case WorkerHeld:
		s.held(e)
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
		s.waking = false
		for _, w := range s.ordered {
			s.holdDue(w)
		}
	}
}

// tick does what becomes due by time alone.
func (s *Scheduler) tick() {
	for _, w := range s.ordered {
		s.checkLease(w)
		s.checkRuns(w)
		if w.info.Draining {
			s.vacate(w)
		}
		s.holdDue(w)
	}
	s.dropWorkers()
	for _, j := range s.active {
		s.openOccurrences(j)
	}
	s.dropRows()
	s.expireJobs()
	s.tickFleet()
	s.expireAdvice()
	s.placeable = true
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
func (s *Scheduler) team(name string) *teamUse {
	t := s.teams[name]
	if t == nil {
		t = &teamUse{}
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

// lease returns the length of the leases that the scheduler grants.
func (s *Scheduler) lease() time.Duration { return min(leaseTime, s.Limits.MaxLease) }

// lapse returns how long after its grant a lease has surely run out.
func (s *Scheduler) lapse() time.Duration {
	return time.Duration(float64(s.lease())/(1-clockDrift)) + leaseMargin
}

func (s *Scheduler) addWorker(w *worker) {
	s.workers[w.info.ID] = w
	s.fleet.onInstance = nil
	w.row = s.journal.workerRow(w.info.ID)
	i, _ := slices.BinarySearchFunc(s.ordered, w.info.ID, func(o *worker, id string) int { return strings.Compare(o.info.ID, id) })
	s.ordered = slices.Insert(s.ordered, i, w)
}

// dropWorkers forgets workers that are neither registered nor may run anything.
func (s *Scheduler) dropWorkers() {
	s.ordered = slices.DeleteFunc(s.ordered, func(w *worker) bool {
		if w.registered || len(w.runs) > 0 || s.now.Before(w.leaseBound) || !w.known {
			return false
		}
		delete(s.workers, w.info.ID)
		s.fleet.onInstance = nil
		s.journal.setWorker(w.info.ID, nil)
		return true
	})
}
