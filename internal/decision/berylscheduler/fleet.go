package berylscheduler

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// listInterval is the time between two lists of the instances.
	listInterval = time.Second
	// urgentListInterval is the time between two lists while a worker does not answer.
	urgentListInterval = 300 * time.Millisecond
	// listDelay is how long a new instance may be missing from the list.
	listDelay = 3 * time.Second
	// instanceOrderRetryPause is the pause before an instance order that failed is sent again.
	instanceOrderRetryPause = 400 * time.Millisecond
	// registrationMargin is added to the time for which an order makes an instance unavailable: its worker then has to register
	// again.
	registrationMargin = 300 * time.Millisecond
	// returnTimeout is how long after its confirmation an order is kept while no new worker has registered on the instance,
	// although the instance is listed as up. If it is not listed as up, the order is kept twice as long.
	returnTimeout = 4 * time.Second
	// vacateTimeout is how long maintenance waits for the instance's long-running tasks to move to other workers.
	vacateTimeout = 8 * time.Second
	// moveTimeout is how long a move waits for the tasks on its instance to finish.
	moveTimeout = 1500 * time.Millisecond
	// shortTaskTimeout is how long maintenance waits for the short tasks on its instance to finish.
	shortTaskTimeout = 2500 * time.Millisecond
)

// fleet holds the platform's instances, the orders for them, and the maintenance waves.
type fleet struct {
	instances map[string]beryllatch.FleetInstance
	listedAt  time.Time
	// listRequestedAt is when the last list of instances was requested, listShows when the last one that was answered was.
	listRequestedAt, listShows time.Time
	listPending                bool
	nextList                   time.Time
	waves                      map[int]*wave
	orders                     map[string]*instanceOrder
	// vacated holds the instances that long-running tasks leave early, as of the last tick.
	vacated map[string]bool
	peaks   map[string]poolPeak
	// recentPeak is the largest number of instances that all pools together have needed within fleetPeakHold.
	recentPeak fleetPeak
	// workerByInstance holds the latest worker of each instance; it is nil if it has to be built again.
	workerByInstance map[string]*worker
	arrivals         []arrival
	// refused holds the refused jobs within longArrivalWindow.
	refused      []arrival
	loadLoggedAt time.Time
	budget       orderBudget
	// alternatives holds the steps with a task on a worker that is to be emptied, and when no other worker could last take it.
	alternatives       map[*stepState]time.Time
	noInstanceLoggedAt time.Time
	// invalidMoves holds the kinds of moves that the platform has rejected as not allowed.
	invalidMoves map[string]bool
	// storedWaves holds the rows of waves that earlier epochs have stored.
	storedWaves map[int]storedWave
	// wavesReported is the last report on what is left of the waves, wavesReportedAt its time.
	wavesReported   WavesLeft
	wavesReportedAt time.Time
}

// instanceOrder is a move or the maintenance of an instance. It exists from its preparation until the instance is in service
// again.
type instanceOrder struct {
	instance string
	// wave is the number of the maintenance wave, 0 for a move.
	wave int
	// pool is the pool that a move puts the instance into.
	pool       string
	preparedAt time.Time
	inFlight   bool
	// unanswered is true once an attempt has had no answer, and may be carried out late.
	unanswered bool
	retryAt    time.Time
	// confirmedAt is when the platform confirmed the order.
	confirmedAt time.Time
	// early is true for maintenance that was prepared before that of others, since long-running tasks on the instance have to move.
	early bool
}

// wasSent reports whether the order has been sent, and not certainly without an effect.
func (o *instanceOrder) wasSent() bool { return o.inFlight || o.unanswered || !o.confirmedAt.IsZero() }

// tickFleet requests lists of instances, and advances instance orders, waves and moves between pools.
func (s *Scheduler) tickFleet() {
	f := &s.fleet
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		s.writeWaveStatus(f.waves[n])
	}
	s.markLateMaintenance()
	s.planWaves()
	s.reportWaves()
	if !f.listPending && !s.now.Before(f.nextList) {
		f.listPending, f.listRequestedAt = true, s.now
		s.emit(ListInstances{})
	}
	if f.listedAt.IsZero() || !s.mayOrderInstances() {
		return
	}
	s.advanceInstanceOrders()
	spare := 0
	if s.hasOpenWave() {
		spare = s.spareInstances()
	}
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		if w := f.waves[n]; !w.done && s.mayMaintain() {
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
	f.listedAt, f.listShows = s.now, f.listRequestedAt
	f.instances = make(map[string]beryllatch.FleetInstance, len(e.Instances))
	for _, i := range e.Instances {
		f.instances[i.Name] = i
	}
	f.workerByInstance = nil
	s.checkInstances(f.listRequestedAt)
	s.placementDue = true
}

// listSoon brings the next list of instances forward. The list shows whether the instance of a worker that does not answer is
// still up.
func (s *Scheduler) listSoon() {
	if soon := s.fleet.listRequestedAt.Add(urgentListInterval); soon.Before(s.fleet.nextList) {
		s.fleet.nextList = soon
	}
}

// prepareInstanceOrder records the order and keeps new tasks away from the instance until it has been carried out.
func (s *Scheduler) prepareInstanceOrder(o *instanceOrder) {
	o.preparedAt = s.now
	s.fleet.orders[o.instance] = o
	if w := s.workerOn(o.instance); w != nil {
		w.preparedFor = o.instance
	}
}

// workerOn returns the worker on an instance, or nil. The worker may have runs even if its registration is gone.
func (s *Scheduler) workerOn(instance string) *worker {
	f := &s.fleet
	if f.workerByInstance == nil {
		f.workerByInstance = make(map[string]*worker, len(s.sortedWorkers))
		for _, w := range s.sortedWorkers {
			if o := f.workerByInstance[w.info.Instance]; o == nil || s.replaces(w, o) {
				f.workerByInstance[w.info.Instance] = w
			}
		}
	}
	return f.workerByInstance[instance]
}

// replaces reports whether w rather than o is the worker on their instance: the one that the platform lists there, or else the one that
// the scheduler learned of later.
func (s *Scheduler) replaces(w, o *worker) bool {
	switch s.fleet.instances[w.info.Instance].Worker {
	case w.info.ID:
		return true
	case o.info.ID:
		return false
	}
	return w.discoveredAt.After(o.discoveredAt)
}

// lostCPU ranks instances by how much work is lost when their runs stop: the booked processor capacity in millicores, plus one
// for each run, plus mustMoveFirst if a long-running task has to move first.
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

// mustMoveFirst ranks instances whose long-running tasks have to move first behind all others.
const mustMoveFirst = 1 << 30

// canStopRuns reports whether all runs of the worker can stop at once without exceeding any long-running step's limit of
// missing tasks.
func (s *Scheduler) canStopRuns(w *worker) bool {
	if w == nil {
		return true
	}
	if !w.synced {
		// The worker may have runs of an earlier epoch that the scheduler does not know yet.
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && !s.canStopTask(r.task, w) {
			return false
		}
	}
	return true
}

// canStopTask reports whether the task's step can do without the task. The step's other tasks on the vacated worker, whose
// runs would all stop, count as missing, too.
func (s *Scheduler) canStopTask(t *task, vacated *worker) bool {
	st := t.step
	if !hasMissingLimit(st.spec) {
		return true
	}
	missing := 0
	for _, o := range st.tasks {
		if o == t || s.hasFullRun(o, vacated) {
			continue
		}
		if missing++; missing >= st.spec.MaxMissing {
			return false
		}
	}
	return true
}

// hasFullRun reports whether a long-running task has a run at full performance on a worker that answers, is not about to be
// moved or maintained, is not the vacated one, and stops no run on an order of an earlier epoch.
func (s *Scheduler) hasFullRun(t *task, vacated *worker) bool {
	for _, r := range t.runs {
		w := r.worker
		if r.percent >= 100 && r.phase == runPresent && w != vacated && !w.instanceOrderSent && w.synced && w.failedHolds == 0 && !s.now.Before(w.stopsEndBy) {
			return true
		}
	}
	return false
}

// vacateOneTask stops one long-running task of the worker if its step can do without it for a while and another worker can take
// it.
func (s *Scheduler) vacateOneTask(w *worker) {
	for _, r := range s.runsOf(w) {
		if r.task == nil || !r.task.step.spec.LongRunning || r.phase != runPresent {
			continue
		}
		if !s.canStopTask(r.task, nil) {
			continue
		}
		if !s.hasAlternativeWorker(r.task, w) {
			s.prepareAlternative(r.task, w)
			s.requestAlternative(r.task)
			continue
		}
		s.stop(r, "worker is vacated")
		return
	}
}

// hasAlternativeWorker reports whether another usable worker of the same pool can have room for the task.
func (s *Scheduler) hasAlternativeWorker(t *task, except *worker) bool {
	for _, w := range s.sortedWorkers {
		if w != except && w.info.Pool == except.info.Pool && s.usable(w) && s.canRun(t, w) && s.canHaveRoom(t, w) {
			return true
		}
	}
	return false
}

// advanceInstanceOrders sends prepared orders once their instances are empty enough, and drops confirmed ones whose instance is
// in service again.
func (s *Scheduler) advanceInstanceOrders() {
	f := &s.fleet
	f.vacated = s.instancesToVacate()
	for _, name := range slices.Sorted(maps.Keys(f.orders)) {
		o := f.orders[name]
		if !o.confirmedAt.IsZero() {
			s.checkInstanceReturned(o)
			continue
		}
		if o.inFlight || s.now.Before(o.retryAt) {
			continue
		}
		switch {
		case !s.canSendInstanceOrder(o):
		case s.hasRoomInWave(o):
			if w := f.waves[o.wave]; w == nil || s.recordMaintenance(w, o.instance) {
				s.sendInstanceOrder(o)
			}
		case o.early:
			s.vacateEarly(o)
		case s.now.Sub(o.preparedAt) >= vacateTimeout && !s.staysPrepared(o):
			s.dropInstanceOrder(o)
		}
	}
}

// canSendInstanceOrder reports whether the instance can be moved or maintained now. A move waits until all runs on the instance
// have ended. Maintenance waits for short runs up to shortTaskTimeout, and moves long-running tasks to other workers one by one
// if their steps cannot do without all of them at once. Orders that have waited too long are dropped, see staysPrepared.
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
	if s.waitsForShortRuns(o) && w.countShortRuns() > 0 {
		if o.early {
			s.vacateEarly(o)
		}
		return false
	}
	if s.canStopForOrder(o, w) {
		return true
	}
	if o.early {
		s.vacateEarly(o)
	} else {
		s.vacateOneTask(w)
	}
	switch {
	case s.staysPrepared(o):
		s.freePlace(o)
	case waited >= vacateTimeout:
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
		if w := s.fleet.waves[o.wave]; w != nil {
			w.ordered[o.instance].sent = true
		}
		s.emit(Decision{Name: "instance_maintenance", Worker: o.instance, Age: age})
		s.emit(MaintainInstance{Instance: o.instance, Wave: o.wave})
		return
	}
	s.emit(Decision{Name: "instance_move", Worker: o.instance, Detail: o.pool, Age: age})
	s.emit(MoveInstance{Instance: o.instance, Pool: o.pool})
}

// expectedAbsence returns how long the order makes the instance unavailable.
func (s *Scheduler) expectedAbsence(o *instanceOrder) time.Duration {
	if o.wave > 0 {
		return s.Limits.MaintenanceTime
	}
	return s.Limits.MoveTime
}

// countShortRuns counts the runs that finish by themselves, as opposed to long-running tasks.
func (w *worker) countShortRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// checkInstanceReturned drops an order once a new worker has registered on its instance, or when the instance has been
// unavailable for too long.
func (s *Scheduler) checkInstanceReturned(o *instanceOrder) {
	absence := s.now.Sub(o.confirmedAt)
	if o.wave > 0 && absence < s.expectedAbsence(o)+registrationMargin || absence < s.expectedAbsence(o)/2 {
		return
	}
	if s.deployment != nil && s.deployment.Pools[o.pool].Standby && absence > s.expectedAbsence(o)+registrationMargin {
		// Instances of a standby pool are switched off and register no worker.
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
	if w := s.fleet.waves[o.wave]; w != nil {
		s.dropRecord(w, o.instance)
	}
	for _, w := range s.sortedWorkers {
		if w.preparedFor == o.instance {
			w.preparedFor, w.instanceOrderSent = "", s.mayBeMaintainedLate(o.instance)
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
	certain := errors.As(e.Err, &rejected)
	if w := s.fleet.waves[o.wave]; w != nil {
		w.maintenanceFailed(o.instance, certain)
	}
	if !certain {
		o.unanswered = true
		if s.repeatsAtOnce(o) {
			o.retryAt = s.now
		}
		return
	}
	switch rejected.Reason {
	case beryllatch.InstanceFenced:
		s.resign("the platform has seen a later epoch for instance " + o.instance)
	case beryllatch.InstanceNotInWave:
		s.recordInvalidMove(o)
		if w := s.fleet.waves[o.wave]; w != nil {
			r := w.ordered[o.instance]
			s.markBegun(w, o.instance)
			if r != nil && r.unanswered {
				// An earlier attempt may have been carried out just now, which the last list doesn't show yet.
				o.confirmedAt = s.now
				return
			}
		}
		s.dropInstanceOrder(o)
	case beryllatch.InstanceInvalid:
		// The maintenance has not begun; the wave tries the instance again until it is gone from the list.
		s.recordInvalidMove(o)
		s.recordTry(o)
		s.dropInstanceOrder(o)
	case beryllatch.InstanceBusy:
		s.dropInstanceOrder(o)
	}
}
