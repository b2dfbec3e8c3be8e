package berylscheduler

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// listPause spaces the lists of instances while a wave is open.
	listPause = time.Second
	// listSoonPause spaces the lists while a worker is silent.
	listSoonPause = 300 * time.Millisecond
	// listLag is how long an instance may take to show in the list.
	listLag = 3 * time.Second
	// orderPause spaces the attempts of a rejected order for an instance.
	orderPause = 400 * time.Millisecond
	// returnMargin is added to the time that an instance is away, for its registration.
	returnMargin = 300 * time.Millisecond
	// returnTimeout is when an instance that has not registered again no longer counts as down.
	returnTimeout = 4 * time.Second
	// vacateTime is how long an instance may wait for its long-running tasks to find another worker.
	vacateTime = 8 * time.Second
	// moveWait is how long a move may wait for the short tasks of its instance.
	moveWait = 1500 * time.Millisecond
	// closingTime is how long an instance waits for its short tasks before its maintenance.
	closingTime = 2500 * time.Millisecond
)

// fleet is what the scheduler knows of the platform's instances and of the maintenance waves.
type fleet struct {
	instances map[string]beryllatch.FleetInstance
	listed    time.Time
	// asked is when the list was asked for.
	asked    time.Time
	listing  bool
	listNext time.Time
	waves    map[int]*wave
	orders   map[string]*instanceOrder
	peaks    map[string]poolPeak
	// load is the most instances that all pools together have wanted lately.
	load peakLoad
	// onInstance holds the latest worker of each instance; nil asks to build it anew.
	onInstance map[string]*worker
	arrivals   []arrival
	reported   time.Time
	budget     orderBudget
	// labels holds when a pool has last lacked a label.
	labels map[labelNeed]time.Time
	// invalid holds the kinds of moves that the platform does not allow.
	invalid map[string]bool
	// stored holds the waves' rows of earlier epochs.
	stored map[int]storedWave
}

// instanceOrder is an order for an instance, from its preparation until the instance is back.
type instanceOrder struct {
	instance string
	// wave is the maintenance wave; 0 for a move.
	wave int
	// pool is where a move puts the instance.
	pool     string
	prepared time.Time
	flying   bool
	retry    time.Time
	// begun is when the platform has confirmed the order.
	begun time.Time
}

// tickFleet carries waves on.
func (s *Scheduler) tickFleet() {
	f := &s.fleet
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		s.tell(f.waves[n])
	}
	if !f.listing && !s.now.Before(f.listNext) {
		f.listing, f.asked = true, s.now
		s.emit(ListInstances{})
	}
	if f.listed.IsZero() || s.now.Sub(s.began) < s.InstanceOrderDelay {
		return
	}
	s.advanceOrders()
	spare := 0
	if s.openWaves() {
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
	f.listing, f.listNext = false, s.now.Add(listPause)
	if e.Err != nil {
		s.emit(Decision{Name: "instances_unknown", Detail: e.Err.Error(), Age: s.now.Sub(f.listed)})
		return
	}
	f.listed = s.now
	f.instances = make(map[string]beryllatch.FleetInstance, len(e.Instances))
	for _, i := range e.Instances {
		f.instances[i.Name] = i
	}
	s.checkLives(f.asked)
	s.placeable = true
}

// listSoon asks for a list of the instances at the next tick: it tells whether a silent worker is still up.
func (s *Scheduler) listSoon() {
	if soon := s.fleet.asked.Add(listSoonPause); soon.Before(s.fleet.listNext) {
		s.fleet.listNext = soon
	}
}

// prepare keeps new tasks away from an instance until its order is carried out.
func (s *Scheduler) prepare(o *instanceOrder) {
	o.prepared = s.now
	s.fleet.orders[o.instance] = o
	if k := s.workerOn(o.instance); k != nil {
		k.closing = o.instance
	}
}

// workerOn returns the latest worker on an instance, or nil. It may run tasks without being registered.
func (s *Scheduler) workerOn(instance string) *worker {
	f := &s.fleet
	if f.onInstance == nil {
		f.onInstance = make(map[string]*worker, len(s.ordered))
		for _, w := range s.ordered {
			if latest := f.onInstance[w.info.Instance]; latest == nil || w.info.Incarnation > latest.info.Incarnation {
				f.onInstance[w.info.Instance] = w
			}
		}
	}
	return f.onInstance[instance]
}

// loss is the processor time that the end of a worker's runs throws away, in thousandths of a core.
func (s *Scheduler) loss(instance string) int {
	w := s.workerOn(instance)
	if w == nil {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		n += 1 + r.booked.CPUMilli
	}
	if !s.mayClose(w) {
		n += blockedLoss
	}
	return n
}

// blockedLoss orders instances whose long-running tasks must be moved first behind all others.
const blockedLoss = 1 << 30

// mayClose reports whether the end of a worker's runs keeps every long-running step within its limit of missing tasks.
func (s *Scheduler) mayClose(w *worker) bool {
	if w == nil {
		return true
	}
	if !w.known {
		// It may run tasks that an earlier epoch has started.
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && !s.mayTakeAway(r.task, w) {
			return false
		}
	}
	return true
}

// mayTakeAway reports whether a planned stop may take the task away from work, beside others that end with the worker.
func (s *Scheduler) mayTakeAway(t *task, closing *worker) bool {
	st := t.step
	if !st.spec.LongRunning || st.spec.MaxMissing == 0 {
		return true
	}
	missing := 0
	for _, o := range st.tasks {
		if o != t && !o.working(closing) {
			missing++
		}
	}
	return missing < st.spec.MaxMissing
}

// working reports whether a long-running task is at full work on a worker that stays.
func (t *task) working(closing *worker) bool {
	for _, r := range t.runs {
		if r.percent >= 100 && r.phase == runPresent && r.worker != closing && !r.worker.leaving && r.worker.failures == 0 {
			return true
		}
	}
	return false
}

// vacate moves one long-running task away from a worker, if its step can spare it and another worker can take it.
func (s *Scheduler) vacate(w *worker) {
	for _, r := range s.runsOf(w) {
		if r.task == nil || !r.task.step.spec.LongRunning || r.phase != runPresent {
			continue
		}
		if !s.mayTakeAway(r.task, nil) {
			continue
		}
		if !s.finds(r.task, w) {
			s.needLabel(r.task)
			continue
		}
		s.stop(r, "worker is vacated")
		return
	}
}

// finds reports whether another usable worker of the pool can have room for the task.
func (s *Scheduler) finds(t *task, except *worker) bool {
	for _, w := range s.ordered {
		if w != except && w.info.Pool == except.info.Pool && s.usable(w) && s.suits(t, w) && s.roomy(t, w) {
			return true
		}
	}
	return false
}

// advanceOrders sends prepared orders once the short tasks have ended, and forgets those whose instance is back.
func (s *Scheduler) advanceOrders() {
	f := &s.fleet
	for _, name := range slices.Sorted(maps.Keys(f.orders)) {
		o := f.orders[name]
		if !o.begun.IsZero() {
			s.checkReturn(o)
			continue
		}
		if o.flying || s.now.Before(o.retry) {
			continue
		}
		if s.mayOrder(o) {
			s.sendOrder(o)
		}
	}
}

// mayOrder reports whether the instance has little left to lose; it moves long-running tasks away that must not miss.
func (s *Scheduler) mayOrder(o *instanceOrder) bool {
	w := s.workerOn(o.instance)
	if w == nil {
		return true
	}
	waited := s.now.Sub(o.prepared)
	if o.wave == 0 && len(w.runs) > 0 {
		if waited >= moveWait {
			s.forgetOrder(o)
		}
		return false
	}
	if waited < closingTime && w.shortRuns() > 0 {
		return false
	}
	if s.mayClose(w) {
		return true
	}
	s.vacate(w)
	if waited >= vacateTime {
		s.forgetOrder(o)
	}
	return false
}

func (s *Scheduler) sendOrder(o *instanceOrder) {
	o.flying = true
	if w := s.workerOn(o.instance); w != nil {
		w.leaving = true
	}
	age := s.now.Sub(s.fleet.listed)
	if o.wave > 0 {
		s.emit(Decision{Name: "instance_maintenance", Worker: o.instance, Age: age})
		s.emit(MaintainInstance{Instance: o.instance, Wave: o.wave})
		return
	}
	s.emit(Decision{Name: "instance_move", Worker: o.instance, Detail: o.pool, Age: age})
	s.emit(MoveInstance{Instance: o.instance, Pool: o.pool})
}

// away returns how long the instance is away for the order.
func (s *Scheduler) away(o *instanceOrder) time.Duration {
	if o.wave > 0 {
		return s.Limits.MaintenanceTime
	}
	return s.Limits.MoveTime
}

// shortRuns counts the runs that end by themselves.
func (w *worker) shortRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// checkReturn forgets an order whose instance has registered again, or has been away for too long.
func (s *Scheduler) checkReturn(o *instanceOrder) {
	away := s.now.Sub(o.begun)
	if o.wave > 0 && away < s.away(o)+returnMargin || away < s.away(o)/2 {
		return
	}
	if s.deployment != nil && s.deployment.Pools[o.pool].Standby && away > s.away(o)+returnMargin {
		// Instances of a standby pool are off and register no worker.
		s.forgetOrder(o)
		return
	}
	w := s.workerOn(o.instance)
	back := s.fleet.instances[o.instance].State == beryllatch.FleetInstanceUp && s.fleet.listed.After(o.begun)
	if (w != nil && w.closing == "") || (back && away > returnTimeout) || away > 2*returnTimeout {
		s.forgetOrder(o)
	}
}

func (s *Scheduler) forgetOrder(o *instanceOrder) {
	delete(s.fleet.orders, o.instance)
	for _, w := range s.ordered {
		if w.closing == o.instance {
			w.closing, w.leaving = "", false
		}
	}
	s.placeable = true
}

func (s *Scheduler) instanceOrderEnded(e InstanceOrderEnded) {
	o := s.fleet.orders[e.Instance]
	if o == nil {
		return
	}
	o.flying = false
	if e.Err == nil {
		o.begun = s.now
		if w := s.fleet.waves[o.wave]; w != nil {
			s.begun(w, o.instance)
		}
		s.noteMove(o)
		s.emit(Decision{Name: "instance_order_done", Worker: o.instance, Detail: o.pool})
		return
	}
	s.emit(Decision{Name: "instance_order_failed", Worker: o.instance, Detail: e.Err.Error()})
	o.retry = s.now.Add(orderPause)
	var rejected *beryllatch.InstanceRejectedError
	if !errors.As(e.Err, &rejected) {
		return
	}
	switch rejected.Reason {
	case beryllatch.InstanceFenced:
		s.resign("the platform has seen a later epoch for instance " + o.instance)
	case beryllatch.InstanceNotInWave, beryllatch.InstanceInvalid:
		s.noteInvalid(o)
		if w := s.fleet.waves[o.wave]; w != nil {
			s.begun(w, o.instance)
		}
		s.forgetOrder(o)
	case beryllatch.InstanceBusy:
		s.forgetOrder(o)
	}
}
