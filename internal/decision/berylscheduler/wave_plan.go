package berylscheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// A wave is taken at an even pace until its time gets short. An outage of the store, a takeover, or long-running tasks that can leave their
// workers only one after another use up the time that the even pace keeps back. The rules in this file apply to a wave that is short of
// time because of that.

// instanceRoundTime returns the time from one order on a place of the wave's maximum to the next: the maintenance, the return of the
// instance, and the list that shows it.
func (s *Scheduler) instanceRoundTime() time.Duration {
	return s.Limits.MaintenanceTime + registrationMargin + listInterval
}

// timeLeft returns the time until the last moment at which a maintenance of the wave may begin and still end before the deadline.
func (s *Scheduler) timeLeft(w *wave) time.Duration {
	return w.firstSeen.Add(w.Deadline - s.Limits.MaintenanceTime).Sub(s.now)
}

// timeNeeded returns how long the pending instances take if each place of the maximum is used again as soon as it is free.
func (s *Scheduler) timeNeeded(w *wave) time.Duration {
	most := max(w.MaxDown, 1)
	return time.Duration((len(w.pending)+most-1)/most) * s.instanceRoundTime()
}

// planWaves decides which waves are short of time. While one is, instances are listed more often, since a place of its maximum that is
// free again, or an instance that has arrived in its pool, shows only in a list. One that is overdue by as much as its deadline isn't
// hurried any more: what is left may be instances that never return.
func (s *Scheduler) planWaves() {
	for _, w := range s.fleet.waves {
		open := w.Deadline > 0 && !w.done && len(w.pending) > 0 && s.timeLeft(w) > -w.Deadline
		spare := s.timeLeft(w) - s.timeNeeded(w)
		w.short, w.hurried = open && spare <= shortTaskTimeout, open && spare <= 0
		if w.short {
			s.listSoon()
		}
	}
}

// waveOf returns the wave of an order for maintenance, or nil.
func (s *Scheduler) waveOf(o *instanceOrder) *wave { return s.fleet.waves[o.wave] }

// isShort reports whether the order belongs to a wave that is short of time.
func (s *Scheduler) isShort(o *instanceOrder) bool {
	w := s.waveOf(o)
	return w != nil && w.short
}

// waitsForShortRuns reports whether the order waits for the short runs on its instance. Waves without time to spare don't wait.
func (s *Scheduler) waitsForShortRuns(o *instanceOrder) bool {
	w := s.waveOf(o)
	return (w == nil || !w.hurried) && s.now.Sub(o.preparedAt) < shortTaskTimeout
}

// repeatsAtOnce reports whether the order is repeated without a pause when it has had no answer.
func (s *Scheduler) repeatsAtOnce(o *instanceOrder) bool {
	w := s.waveOf(o)
	return w != nil && w.hurried
}

// staysPrepared reports whether the order is kept although it has waited for vacateTimeout. An order that is dropped lets new tasks on the
// instance, and the next one has to wait for them again.
func (s *Scheduler) staysPrepared(o *instanceOrder) bool { return o.early || s.isShort(o) }

// vacateEarly moves a long-running task away from an instance that was taken early, while its short runs end or the maximum is down, if it
// is its turn.
func (s *Scheduler) vacateEarly(o *instanceOrder) {
	if k := s.workerOn(o.instance); k != nil && s.fleet.vacated[o.instance] {
		s.vacateOneTask(k)
	}
}

// instancesToVacate returns the instances taken early that are vacated now. Of the instances with tasks of a step, as many are vacated at a
// time as tasks may be missing, those that were prepared first.
func (s *Scheduler) instancesToVacate() map[string]bool {
	var early []*instanceOrder
	for _, o := range s.fleet.orders {
		if o.early && !o.inFlight && o.confirmedAt.IsZero() {
			early = append(early, o)
		}
	}
	slices.SortFunc(early, compareOrders)
	out := make(map[string]bool, len(early))
	before := make(map[*stepState]int)
	for _, o := range early {
		turn := true
		for st := range s.limitedSteps(o.instance) {
			turn = turn && before[st] < st.spec.MaxMissing
			before[st]++
		}
		out[o.instance] = turn
	}
	return out
}

func compareOrders(a, b *instanceOrder) int {
	return cmp.Or(a.preparedAt.Compare(b.preparedAt), strings.Compare(a.instance, b.instance))
}

// freePlace deletes the record of an order that was about to be sent and now has to wait for its tasks, perhaps for long, if its wave is
// short of time and has its maximum down. Otherwise the record stays, since the next one would have to be stored first.
func (s *Scheduler) freePlace(o *instanceOrder) {
	if w := s.waveOf(o); w != nil && w.short && w.ordered[o.instance] != nil && s.countInstancesDown(w) >= w.MaxDown {
		s.dropRecord(w, o.instance)
	}
}

// canTake reports whether the wave may prepare an order for the instance, by the list and the orders. A wave that is short of time also
// takes instances that a move holds, and tries those that are not listed as up: the list may be old, and the platform rejects what
// it can't do. An instance that was tried is tried again after listInterval, or once a later list shows it as up.
func (s *Scheduler) canTake(w *wave, instance string) bool {
	i, listed := s.fleet.instances[instance]
	o, up := s.fleet.orders[instance], i.State == beryllatch.FleetInstanceUp
	tried := w.triedAt[instance]
	mayTry := s.now.Sub(tried) >= listInterval || up && s.fleet.listShows.After(tried)
	if !listed || !mayTry {
		return false
	}
	if !w.short {
		return o == nil && up
	}
	return i.State != beryllatch.FleetInstanceMaintenance && (o == nil || s.canReplace(o))
}

// canReplace reports whether a wave may put its own order in the place of this one: of a move that certainly has not been carried out, or
// of one that is over while the worker of the instance has not registered yet. A move without an answer may still be carried out after
// the maintenance, and end the runs that the instance has then.
func (s *Scheduler) canReplace(o *instanceOrder) bool {
	if o.wave > 0 {
		return false
	}
	isOver := !o.confirmedAt.IsZero() && !s.now.Before(o.confirmedAt.Add(s.expectedAbsence(o)+registrationMargin))
	return isOver || !o.wasSent()
}

// takeInstance prepares the maintenance of an instance, in the place of a move if there is one.
func (s *Scheduler) takeInstance(w *wave, instance string, early bool) {
	if o := s.fleet.orders[instance]; o != nil {
		s.dropInstanceOrder(o)
	}
	o := &instanceOrder{instance: instance, wave: w.Number, early: early}
	if s.fleet.instances[instance].State != beryllatch.FleetInstanceUp {
		s.recordTry(o)
	}
	s.prepareInstanceOrder(o)
}

// recordTry records that the wave of the order has tried an instance for which the platform may reject it.
func (s *Scheduler) recordTry(o *instanceOrder) {
	w := s.waveOf(o)
	if w == nil {
		return
	}
	if w.triedAt == nil {
		w.triedAt = make(map[string]time.Time)
	}
	w.triedAt[o.instance] = s.now
}

// keptForWave reports whether moves leave the instance alone, since it awaits a wave that is short of time.
func (s *Scheduler) keptForWave(instance string) bool {
	for _, w := range s.fleet.waves {
		if w.short && w.pending[instance] {
			return true
		}
	}
	return false
}

// awaitingMaintenanceCost is the cost of a place on an instance that a wave still has to take, for a task that its step can hardly do
// without: the task would have to move again. It is above the costs of a worker that could stay idle.
const awaitingMaintenanceCost = 1.0

// maintenanceCost returns the cost of placing the task on the worker because of open waves.
func (s *Scheduler) maintenanceCost(t *task, k *worker) float64 {
	if !hasMissingLimit(t.step.spec) {
		return 0
	}
	for _, w := range s.fleet.waves {
		if w.pending[k.info.Instance] {
			return awaitingMaintenanceCost
		}
	}
	return 0
}

// hasMissingLimit reports whether only some of the step's tasks may be missing.
func hasMissingLimit(spec *beryllatch.JobStep) bool { return spec.LongRunning && spec.MaxMissing > 0 }

// limitedSteps returns the steps with a limit of missing tasks that have a run on the instance.
func (s *Scheduler) limitedSteps(instance string) map[*stepState]bool {
	k := s.workerOn(instance)
	if k == nil {
		return nil
	}
	var out map[*stepState]bool
	for _, r := range k.runs {
		if r.task != nil && hasMissingLimit(r.task.step.spec) {
			if out == nil {
				out = make(map[*stepState]bool)
			}
			out[r.task.step] = true
		}
	}
	return out
}

// vacatePlan is which instances of a wave have to be taken early. Tasks of one step leave their workers MaxMissing at a time, so that the
// last instance with one of them waits for all others.
type vacatePlan struct {
	steps map[string]map[*stepState]bool
	// instances counts the pending instances by step, preparing those of them with an order that has not been sent.
	instances, preparing map[*stepState]int
}

func (s *Scheduler) planVacating(w *wave) vacatePlan {
	p := vacatePlan{make(map[string]map[*stepState]bool), make(map[*stepState]int), make(map[*stepState]int)}
	for i := range w.pending {
		steps := s.limitedSteps(i)
		if len(steps) == 0 {
			continue
		}
		p.steps[i] = steps
		o := s.fleet.orders[i]
		for st := range steps {
			p.instances[st]++
			if o != nil && o.wave == w.Number && !o.inFlight {
				p.preparing[st]++
			}
		}
	}
	return p
}

// wait returns an upper bound of the time until the runs on the instance have ended.
func (p vacatePlan) wait(instance string) time.Duration {
	longest := time.Duration(0)
	for st := range p.steps[instance] {
		n := st.spec.MaxMissing
		longest = max(longest, time.Duration((p.instances[st]+n-1)/n)*vacateTimeout)
	}
	return longest
}

// preparedAhead is how many times the instances that can be vacated at a time are prepared, so that the short runs of the next ones end
// meanwhile.
const preparedAhead = 2

// mayPrepare reports whether one more instance may be prepared early.
func (p vacatePlan) mayPrepare(instance string) bool {
	for st := range p.steps[instance] {
		if p.preparing[st] >= preparedAhead*st.spec.MaxMissing {
			return false
		}
	}
	return true
}

// recordPrepared counts an instance that is prepared early.
func (p vacatePlan) recordPrepared(instance string) {
	for st := range p.steps[instance] {
		p.preparing[st]++
	}
}

// waveCandidate is an instance that a wave may take.
type waveCandidate struct {
	instance string
	// wait is how long its runs may take to end; early is true if it has to be taken before the others because of that.
	wait  time.Duration
	early bool
	// loss is as of lostCPU.
	loss int
}

// waveCandidates returns the instances that the wave may take, in order: those first whose runs may take longer to end than the wave has
// to spare, those that take the longest before the others, and then those with the least work to lose. Only the former are returned if the
// wave has no room left within its maximum.
func (s *Scheduler) waveCandidates(w *wave, p vacatePlan, room int) []waveCandidate {
	var out []waveCandidate
	for i := range w.pending {
		early := s.isEarly(w, p, i)
		if early && !p.mayPrepare(i) || !early && room <= 0 || !s.canTake(w, i) || s.hidesRuns(w, i) {
			continue
		}
		c := waveCandidate{instance: i, early: early, loss: s.lostCPU(i)}
		if early {
			c.wait = p.wait(i)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b waveCandidate) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.loss, b.loss), strings.Compare(a.instance, b.instance))
	})
	return out
}

// isEarly reports whether the runs on the instance may take longer to end than the wave has to spare.
func (s *Scheduler) isEarly(w *wave, p vacatePlan, instance string) bool {
	wait := p.wait(instance)
	return w.Deadline > 0 && wait > 0 && wait >= s.timeLeft(w)-s.timeNeeded(w)
}

// hidesRuns reports whether the worker on the instance may have runs of an earlier epoch that rule out its maintenance.
func (s *Scheduler) hidesRuns(w *wave, instance string) bool {
	k := s.workerOn(instance)
	return k != nil && !k.synced && (!w.short || !s.canStopUnknownRuns(k))
}

// canStopForOrder reports whether all runs on the order's instance may end now.
func (s *Scheduler) canStopForOrder(o *instanceOrder, k *worker) bool {
	return s.canStopRuns(k) || k != nil && !k.synced && s.isShort(o) && s.canStopUnknownRuns(k)
}

// canStopUnknownRuns reports whether a worker that has been asked for its runs and doesn't answer can stop whatever runs it has: even if
// each task without a run elsewhere is on it, no step lacks more of them than may be missing. The load that it answers is a
// worker that is cut off after a takeover, whose longest lease lasts for half of a wave.
func (s *Scheduler) canStopUnknownRuns(k *worker) bool {
	if k.failedHolds == 0 {
		return false
	}
	for _, j := range s.heldBack {
		if !j.state.Final() {
			return false
		}
	}
	for _, j := range s.active {
		if !j.limitedStepsAreOpen() {
			return false
		}
		for _, st := range j.open {
			if hasMissingLimit(st.spec) && s.countMissing(st) > st.spec.MaxMissing {
				return false
			}
		}
	}
	return true
}

// limitedStepsAreOpen reports whether all steps with a limit of missing tasks are open or done. One that is not open may have runs that
// are not known: an earlier epoch may have started it and not stored the end of the steps that it depends on.
func (j *job) limitedStepsAreOpen() bool {
	left := 0
	for n := range j.Steps {
		if hasMissingLimit(&j.Steps[n]) {
			left += j.Occurrences() - j.steps[n].done.Len()
		}
	}
	for _, st := range j.open {
		if hasMissingLimit(st.spec) {
			left--
		}
	}
	return left == 0
}

// countMissing counts the tasks of a step without a run at full performance.
func (s *Scheduler) countMissing(st *stepState) int {
	n := 0
	for _, t := range st.tasks {
		if !t.done && !s.hasFullRun(t, nil) {
			n++
		}
	}
	return n
}

// waitsOutsideMaximum reports whether the order holds no place of its wave's maximum, since it waits for long-running tasks to move. It
// gets one before it is recorded and sent.
func (s *Scheduler) waitsOutsideMaximum(w *wave, o *instanceOrder) bool {
	return s.staysPrepared(o) && !o.inFlight && o.confirmedAt.IsZero() && w.ordered[o.instance] == nil &&
		!s.canStopForOrder(o, s.workerOn(o.instance))
}

// isBack reports whether the maintenance of an order is over, by a list that was requested after its end. A wave that is short of time
// doesn't wait for the worker to register, which it can't while the store is unavailable.
func (s *Scheduler) isBack(o *instanceOrder) bool {
	return s.isShort(o) && !o.confirmedAt.IsZero() && s.fleet.instances[o.instance].State == beryllatch.FleetInstanceUp &&
		!s.fleet.listShows.Before(o.confirmedAt.Add(s.expectedAbsence(o)+registrationMargin))
}
