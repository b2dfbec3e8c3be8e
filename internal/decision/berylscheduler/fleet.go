package berylscheduler

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// listInterval spaces the lists of instances while a wave is open.
	listInterval = time.Second
	// urgentListInterval spaces the lists while a worker is silent.
	urgentListInterval = 300 * time.Millisecond
	// listDelay is how long an instance may take to show in the list.
	listDelay = 3 * time.Second
	// instanceOrderRetryPause spaces the attempts of a rejected order for an instance.
	instanceOrderRetryPause = 400 * time.Millisecond
	// registrationMargin is added to the time that an instance is away, for its registration.
	registrationMargin = 300 * time.Millisecond
	// returnTimeout is when an instance that has not registered again no longer counts as down.
	returnTimeout = 4 * time.Second
	// vacateTimeout is how long an instance may wait for its long-running tasks to find another worker.
	vacateTimeout = 8 * time.Second
	// moveTimeout is how long a move may wait for the short tasks of its instance.
	moveTimeout = 1500 * time.Millisecond
	// shortTaskTimeout is how long an instance waits for its short tasks before its maintenance.
	shortTaskTimeout = 2500 * time.Millisecond
)

// fleet is what the scheduler knows of the platform's instances and of the maintenance waves.
type fleet struct {
	instances map[string]beryllatch.FleetInstance
	listedAt  time.Time
	// listRequestedAt is when the list was asked for.
	listRequestedAt time.Time
	listPending     bool
	nextList        time.Time
	waves           map[int]*wave
	orders          map[string]*instanceOrder
	peaks           map[string]poolPeak
	// recentPeak is the most instances that all pools together have wanted lately.
	recentPeak fleetPeak
	// workerByInstance holds the latest worker of each instance; nil asks to build it anew.
	workerByInstance map[string]*worker
	arrivals         []arrival
	loadLoggedAt     time.Time
	budget           orderBudget
	// labelNeeds holds when a pool has last lacked a label.
	labelNeeds map[labelNeed]time.Time
	// invalidMoves holds the kinds of moves that the platform does not allow.
	invalidMoves map[string]bool
	// storedWaves holds the waves' rows of earlier epochs.
	storedWaves map[int]storedWave
}

// instanceOrder is an order for an instance, from its preparation until the instance is back.
type instanceOrder struct {
	instance string
	// wave is the maintenance wave; 0 for a move.
	wave int
	// pool is where a move puts the instance.
	pool       string
	preparedAt time.Time
	inFlight   bool
	retryAt    time.Time
	// confirmedAt is when the platform has confirmed the order.
	confirmedAt time.Time
}

// tickFleet carries waves on.
func (s *Scheduler) tickFleet() {
	f := &s.fleet
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		s.writeWaveStatus(f.waves[n])
	}
	if !f.listPending && !s.now.Before(f.nextList) {
		f.listPending, f.listRequestedAt = true, s.now
		s.emit(ListInstances{})
	}
	if f.listedAt.IsZero() || s.now.Sub(s.startedAt) < s.QuietInstances {
		return
	}
	s.advanceInstanceOrders()
	spare := 0
	if s.hasOpenWave() {
		spare = s.spareInstances()
	}
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		if w := f.waves[n]; !w.done {
			spare -= s.advanceWave(w, spare)
		}
	}
	s.rebalance()
}

func (s *Scheduler) instancesListed(e InstancesListed) {
	f := &s.fleet
	f.listPending, f.nextList = false, s.now.Add(listInterval)
	if e.Err != nil {
		s.emit(Decision{Name: "instances_unknown", Detail: e.Err.Error(), Age: s.now.Sub(f.listedAt)})
		return
	}
	f.listedAt = s.now
	f.instances = make(map[string]beryllatch.FleetInstance, len(e.Instances))
	for _, i := range e.Instances {
		f.instances[i.Name] = i
	}
	s.checkInstances(f.listRequestedAt)
	s.placementDue = true
}

// listSoon asks for a list of the instances at the next tick: it tells whether a silent worker is still up.
func (s *Scheduler) listSoon() {
	if soon := s.fleet.listRequestedAt.Add(urgentListInterval); soon.Before(s.fleet.nextList) {
		s.fleet.nextList = soon
	}
}

// prepareInstanceOrder keeps new tasks away from an instance until its order is carried out.
func (s *Scheduler) prepareInstanceOrder(o *instanceOrder) {
	o.preparedAt = s.now
	s.fleet.orders[o.instance] = o
	if k := s.workerOn(o.instance); k != nil {
		k.preparedFor = o.instance
	}
}

// workerOn returns the latest worker on an instance, or nil. It may run tasks without being registered.
func (s *Scheduler) workerOn(instance string) *worker {
	f := &s.fleet
	if f.workerByInstance == nil {
		f.workerByInstance = make(map[string]*worker, len(s.sortedWorkers))
		for _, w := range s.sortedWorkers {
			if latest := f.workerByInstance[w.info.Instance]; latest == nil || w.info.Born > latest.info.Born {
				f.workerByInstance[w.info.Instance] = w
			}
		}
	}
	return f.workerByInstance[instance]
}

// lostCPU is the processor time that the end of a worker's runs throws away, in thousandths of a core.
func (s *Scheduler) lostCPU(instance string) int {
	w := s.workerOn(instance)
	if w == nil {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		n += 1 + r.booked.CPUMilli
	}
	if !s.canStopRuns(w) {
		n += mustMoveFirst
	}
	return n
}

// mustMoveFirst orders instances whose long-running tasks must be moved first behind all others.
const mustMoveFirst = 1 << 30

// canStopRuns reports whether the end of a worker's runs keeps every long-running step within its limit of missing tasks.
func (s *Scheduler) canStopRuns(w *worker) bool {
	if w == nil {
		return true
	}
	if !w.synced {
		// It may run tasks that an earlier epoch has started.
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && !s.canStopTask(r.task, w) {
			return false
		}
	}
	return true
}

// canStopTask reports whether a planned stop may take the task away from work, beside others that end with the worker.
func (s *Scheduler) canStopTask(t *task, closing *worker) bool {
	st := t.step
	if !st.spec.LongRunning || st.spec.MaxMissing == 0 {
		return true
	}
	missing := 0
	for _, o := range st.tasks {
		if o != t && !o.hasFullRun(closing) {
			missing++
		}
	}
	return missing < st.spec.MaxMissing
}

// hasFullRun reports whether a long-running task is at full work on a worker that stays.
func (t *task) hasFullRun(closing *worker) bool {
	for _, r := range t.runs {
		if r.percent >= 100 && r.phase == runPresent && r.worker != closing && !r.worker.instanceOrderSent && r.worker.failedHolds == 0 {
			return true
		}
	}
	return false
}

// vacateOneTask moves one long-running task away from a worker, if its step can spare it and another worker can take it.
func (s *Scheduler) vacateOneTask(w *worker) {
	for _, r := range s.runsOf(w) {
		if r.task == nil || !r.task.step.spec.LongRunning || r.phase != runPresent {
			continue
		}
		if !s.canStopTask(r.task, nil) {
			continue
		}
		if !s.hasAlternativeWorker(r.task, w) {
			s.recordLabelNeed(r.task)
			continue
		}
		s.stop(r, "worker is vacated")
		return
	}
}

// hasAlternativeWorker reports whether another usable worker of the pool can have room for the task.
func (s *Scheduler) hasAlternativeWorker(t *task, except *worker) bool {
	for _, w := range s.sortedWorkers {
		if w != except && w.info.Pool == except.info.Pool && s.usable(w) && s.canRun(t, w) && s.canHaveRoom(t, w) {
			return true
		}
	}
	return false
}

// advanceInstanceOrders sends prepared orders once the short tasks have ended, and forgets those whose instance is back.
func (s *Scheduler) advanceInstanceOrders() {
	f := &s.fleet
	for _, name := range slices.Sorted(maps.Keys(f.orders)) {
		o := f.orders[name]
		if !o.confirmedAt.IsZero() {
			s.checkInstanceReturned(o)
			continue
		}
		if o.inFlight || s.now.Before(o.retryAt) {
			continue
		}
		if s.canSendInstanceOrder(o) {
			s.sendInstanceOrder(o)
		}
	}
}

// canSendInstanceOrder reports whether the instance has little left to lose; it moves long-running tasks away that must not miss.
func (s *Scheduler) canSendInstanceOrder(o *instanceOrder) bool {
	w := s.workerOn(o.instance)
	if w == nil {
		return true
	}
	waited := s.now.Sub(o.preparedAt)
	if o.wave == 0 && len(w.runs) > 0 {
		if waited >= moveTimeout {
			s.dropInstanceOrder(o)
		}
		return false
	}
	if waited < shortTaskTimeout && w.countShortRuns() > 0 {
		return false
	}
	if s.canStopRuns(w) {
		return true
	}
	s.vacateOneTask(w)
	if waited >= vacateTimeout {
		s.dropInstanceOrder(o)
	}
	return false
}

func (s *Scheduler) sendInstanceOrder(o *instanceOrder) {
	o.inFlight = true
	if w := s.workerOn(o.instance); w != nil {
		w.instanceOrderSent = true
	}
	age := s.now.Sub(s.fleet.listedAt)
	if o.wave > 0 {
		s.emit(Decision{Name: "instance_maintenance", Worker: o.instance, Age: age})
		s.emit(MaintainInstance{Instance: o.instance, Wave: o.wave})
		return
	}
	s.emit(Decision{Name: "instance_move", Worker: o.instance, Detail: o.pool, Age: age})
	s.emit(MoveInstance{Instance: o.instance, Pool: o.pool})
}

// expectedAbsence returns how long the instance is away for the order.
func (s *Scheduler) expectedAbsence(o *instanceOrder) time.Duration {
	if o.wave > 0 {
		return s.Limits.MaintenanceTime
	}
	return s.Limits.MoveTime
}

// countShortRuns counts the runs that end by themselves.
func (w *worker) countShortRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// checkInstanceReturned forgets an order whose instance has registered again, or has been away for too long.
func (s *Scheduler) checkInstanceReturned(o *instanceOrder) {
	absence := s.now.Sub(o.confirmedAt)
	if o.wave > 0 && absence < s.expectedAbsence(o)+registrationMargin || absence < s.expectedAbsence(o)/2 {
		return
	}
	if s.deployment != nil && s.deployment.Pools[o.pool].Standby && absence > s.expectedAbsence(o)+registrationMargin {
		// Instances of a standby pool are off and register no worker.
		s.dropInstanceOrder(o)
		return
	}
	w := s.workerOn(o.instance)
	back := s.fleet.instances[o.instance].State == beryllatch.FleetInstanceUp && s.fleet.listedAt.After(o.confirmedAt)
	if (w != nil && w.preparedFor == "") || (back && absence > returnTimeout) || absence > 2*returnTimeout {
		s.dropInstanceOrder(o)
	}
}

func (s *Scheduler) dropInstanceOrder(o *instanceOrder) {
	delete(s.fleet.orders, o.instance)
	for _, w := range s.sortedWorkers {
		if w.preparedFor == o.instance {
			w.preparedFor, w.instanceOrderSent = "", false
		}
	}
	s.placementDue = true
}

func (s *Scheduler) instanceOrderEnded(e InstanceOrderEnded) {
	o := s.fleet.orders[e.Instance]
	if o == nil {
		return
	}
	o.inFlight = false
	if e.Err == nil {
		o.confirmedAt = s.now
		if w := s.fleet.waves[o.wave]; w != nil {
			s.markBegun(w, o.instance)
		}
		s.recordMove(o)
		s.emit(Decision{Name: "instance_order_done", Worker: o.instance, Detail: o.pool})
		return
	}
	s.emit(Decision{Name: "instance_order_failed", Worker: o.instance, Detail: e.Err.Error()})
	o.retryAt = s.now.Add(instanceOrderRetryPause)
	var rejected *beryllatch.InstanceRejectedError
	if !errors.As(e.Err, &rejected) {
		return
	}
	switch rejected.Reason {
	case beryllatch.InstanceFenced:
		s.resign("the platform has seen a later epoch for instance " + o.instance)
	case beryllatch.InstanceNotInWave, beryllatch.InstanceInvalid:
		s.recordInvalidMove(o)
		if w := s.fleet.waves[o.wave]; w != nil {
			s.markBegun(w, o.instance)
		}
		s.dropInstanceOrder(o)
	case beryllatch.InstanceBusy:
		s.dropInstanceOrder(o)
	}
}
