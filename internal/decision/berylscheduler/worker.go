package berylscheduler

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// registryGrace is how long a registration that has disappeared still counts: it may have expired in an outage of the store
// and come back.
const registryGrace = 2500 * time.Millisecond

// stopMargin is the time in which the end of a run is listed and read.
const stopMargin = 300 * time.Millisecond

// worker is a registered or formerly registered worker with its runs and booked capacity.
type worker struct {
	info beryllatch.WorkerInfo
	// registered is true while the worker has a registration; unregisteredAt is when it lost its last one.
	registered     bool
	unregisteredAt time.Time
	// discoveredAt is when the scheduler learned of the worker.
	discoveredAt time.Time
	// row is the worker's row, shared by all incarnations of its ID. The worker gets no runs before the row is stored, see
	// prepareWorkers.
	row *workerRow
	// synced is true once the scheduler knows all runs on the worker: its lists have been read in this epoch, or it cannot have
	// runs of an earlier one.
	synced bool
	runs   map[runID]*run
	// stopsEndBy is when the stops have ended that an earlier epoch ordered before the worker knew of this one.
	stopsEndBy time.Time
	// idleSince is when the last run ended; before the first run, it is when the scheduler learned of the worker.
	idleSince time.Time
	// longRunningRuns counts the runs of long-running tasks, and longRunningUse is the capacity booked for them.
	longRunningRuns int
	longRunningUse  beryllatch.Resources
	// reserved is the step that the worker is kept free for in the present pass.
	reserved *stepState
	// pendingStarts counts the start orders in flight.
	pendingStarts int
	used          beryllatch.Resources

	holdPending bool
	// probePending is true while a probe is in flight, possibly beside a hold that waits for a completion.
	probePending bool
	// answerMissing is true from an unanswered order to the next answer; meanwhile the worker gets no new tasks.
	answerMissing bool
	nextHold      time.Time
	// failedHolds counts the holds without an answer since the last answer.
	failedHolds int
	// lastContact is when the last hold that was answered was sent.
	lastContact time.Time
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leasesExpireBy is when all leases that the worker may hold have expired.
	leasesExpireBy time.Time

	// lastCompletion is the number of the last completion that was applied. The worker may forget completions up to
	// acknowledged, which has been sent up to sentAcknowledge.
	lastCompletion, acknowledged, sentAcknowledge int64
	unacknowledged                                []unacknowledgedCompletion
	// unstoredListed is true while the worker is in Scheduler.unstored.
	unstoredListed bool

	health health
	speed  speed
	// preparedFor is the name of the worker's instance while there is an order for it; the worker gets no new tasks.
	preparedFor string
	// instanceOrderSent is true once that order has been sent.
	instanceOrderSent bool
}

// unacknowledgedCompletion is a completion that may be acknowledged once the change of the job is stored.
type unacknowledgedCompletion struct {
	number int64
	job    *job
	change uint64
}

// runID identifies a run.
type runID struct {
	task string
	n    int
}

func (w *worker) address() beryllatch.WorkerAddress {
	return beryllatch.WorkerAddress{ID: w.info.ID, Address: w.info.Address}
}

func (w *worker) encode() []byte { return mustEncode(w.info) }

// usable reports whether the worker may get new runs. A registration that has disappeared still counts for registryGrace.
func (s *Scheduler) usable(w *worker) bool {
	present := w.registered || (!w.unregisteredAt.IsZero() && s.now.Sub(w.unregisteredAt) < registryGrace)
	return present && w.synced && s.hasRecentClock(w) && w.failedHolds == 0 && !w.answerMissing && w.row.version > 0 && s.inService(w) &&
		!w.health.isSuspect(s.now)
}

// inService reports whether the worker should keep running tasks: it is not draining, there is no order for its instance, and
// its data centre is not being evacuated.
func (s *Scheduler) inService(w *worker) bool {
	return !w.info.Draining && w.preparedFor == "" && !s.operations.Evacuated[w.info.DataCentre]
}

func (s *Scheduler) readRegistry(workers []beryllatch.WorkerInfo) {
	present := make(map[string]bool, len(workers))
	for _, i := range workers {
		present[i.ID] = true
	}
	for _, w := range s.sortedWorkers {
		if !present[w.info.ID] {
			s.unregister(w)
		}
	}
	for _, i := range workers {
		s.register(i)
	}
	for _, w := range s.sortedWorkers {
		s.sendHoldIfDue(w)
	}
}

func (s *Scheduler) changeRegistry(e RegistryChanged) {
	for _, id := range e.Removed {
		if w := s.workers[id]; w != nil {
			s.unregister(w)
		}
	}
	for _, i := range e.Workers {
		s.register(i)
	}
}

func (s *Scheduler) unregister(w *worker) {
	if !w.registered {
		return
	}
	w.registered, w.unregisteredAt = false, s.now
	s.emit(Decision{Name: "worker_gone", Worker: w.info.ID, Detail: "its registration is gone"})
	s.placementDue = true
}

func (s *Scheduler) register(i beryllatch.WorkerInfo) {
	if ended, ok := s.endedIncarnations[i.ID]; ok && i.Incarnation <= ended {
		return
	}
	w := s.workers[i.ID]
	if w == nil {
		// Earlier epochs have stored a row of each worker with runs, and this epoch has read all rows.
		w = &worker{info: i, registered: true, discoveredAt: s.now, idleSince: s.now, synced: true}
		s.endEarlierIncarnations(w)
		s.addWorker(w)
		s.emit(Decision{Name: "worker_registered", Worker: i.ID, Detail: i.Pool})
		s.placementDue = true
		s.sendHoldIfDue(w)
		return
	}
	if i.Incarnation != 0 && w.info.Incarnation != 0 && i.Incarnation > w.info.Incarnation {
		s.resetForIncarnation(w, i.Incarnation)
	}
	if i.Incarnation != 0 && i.Incarnation < w.info.Incarnation {
		return
	}
	if i.Draining && !w.info.Draining {
		s.emit(Decision{Name: "worker_draining", Worker: i.ID})
	}
	moved := i.Address != w.info.Address
	w.info, w.registered = i, true
	s.fleet.workerByInstance = nil
	if moved && w.prepared() {
		s.journal.setWorkerRow(i.ID, w.encode())
	}
	s.placementDue = true
}

// endEarlierIncarnations ends the workers that ran on the same instance before the new worker.
func (s *Scheduler) endEarlierIncarnations(n *worker) {
	if n.info.Instance == "" {
		return
	}
	for _, w := range s.sortedWorkers {
		if w.info.Instance == n.info.Instance && w.info.Incarnation < n.info.Incarnation {
			s.endIncarnation(w)
		}
	}
}

// endIncarnation writes off a worker that certainly has no runs any more. Its registration may stay for a while and is ignored.
func (s *Scheduler) endIncarnation(w *worker) {
	s.endedIncarnations[w.info.ID] = w.info.Incarnation
	s.resetForIncarnation(w, w.info.Incarnation)
	w.leasesExpireBy = s.now
	s.unregister(w)
}

// checkInstances ends the workers whose instance is not up or runs another worker, by a list of instances that was requested at
// the given time.
func (s *Scheduler) checkInstances(requestedAt time.Time) {
	for _, w := range s.sortedWorkers {
		i, ok := s.fleet.instances[w.info.Instance]
		if w.info.Instance == "" || !w.discoveredAt.Before(requestedAt) {
			continue
		}
		if !ok && w.registered {
			// The worker may have registered too late for the list.
			continue
		}
		if i.State != beryllatch.FleetInstanceUp || i.Worker != w.info.ID {
			if len(w.runs) > 0 || !w.synced || w.registered {
				s.emit(Decision{Name: "worker_ended", Worker: w.info.ID, Detail: "instance is " + string(i.State)})
				s.endIncarnation(w)
			}
		}
	}
}

// resetForIncarnation writes off the runs of the worker's previous incarnation, and resets what was known about it.
func (s *Scheduler) resetForIncarnation(w *worker, incarnation int64) {
	s.emit(Decision{Name: "worker_restarted", Worker: w.info.ID})
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.recordLostRun(r, "worker restarted")
	}
	w.info.Incarnation = incarnation
	s.fleet.workerByInstance = nil
	w.lastCompletion, w.acknowledged, w.sentAcknowledge, w.unacknowledged, w.pendingStarts = 0, 0, 0, nil, 0
	w.clockAt, w.failedHolds, w.synced, w.health = time.Time{}, 0, true, health{}
	w.speed = speed{}
	w.answerMissing, w.probePending = false, false
	s.placementDue = true
}

// checkLease writes off the runs of a worker once all its leases have expired.
func (s *Scheduler) checkLease(w *worker) {
	if s.now.Before(w.leasesExpireBy) {
		return
	}
	if !w.synced {
		if w.failedHolds == 0 {
			// The worker has not been asked yet, and may list a completion that an earlier epoch did not store.
			return
		}
		w.synced = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its longest lease has run out"})
		s.placementDue = true
	}
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.recordLostRun(r, "lease ran out")
	}
}

// maxClockAge is how old a reading of a worker's clock may be before it is read again. A lease that is granted by a reading of
// that age is shorter by 1.2 s, and the worker's next answer holds a new reading.
const maxClockAge = time.Minute

// clockAtLeast returns the least time that the worker's clock can show now; it returns false before the clock was first read.
func (s *Scheduler) clockAtLeast(w *worker) (time.Duration, bool) {
	if w.clockAt.IsZero() {
		return 0, false
	}
	return w.clock + time.Duration(float64(s.now.Sub(w.clockAt))*(1-clockDrift)), true
}

// hasRecentClock reports whether the worker's clock has been read within maxClockAge.
func (s *Scheduler) hasRecentClock(w *worker) bool {
	return !w.clockAt.IsZero() && s.now.Sub(w.clockAt) <= maxClockAge
}

func (w *worker) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
}

// grantLease returns the end of a new lease by the worker's clock, or 0 if that clock is unknown. However old the reading of
// that clock is, the lease is not longer than leaseLength.
func (s *Scheduler) grantLease(w *worker) time.Duration {
	clock, ok := s.clockAtLeast(w)
	if !ok {
		return 0
	}
	w.leasesExpireBy = laterTime(w.leasesExpireBy, s.now.Add(s.leaseExpiryBound()))
	return clock + s.leaseLength()
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasUnconfirmedRun reports whether the start or the stop of a run on the worker is not confirmed.
func (w *worker) hasUnconfirmedRun() bool {
	for _, r := range w.runs {
		if r.phase == runUnconfirmed || r.phase == runStopping {
			return true
		}
	}
	return false
}
