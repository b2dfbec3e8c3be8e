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

// worker is a registered or formerly registered worker with its runs and booked capacity. Its fields belong to the worker's ID or
// to the calls in flight; what belongs to one incarnation of it is in incarnation.
type worker struct {
	incarnation
	info beryllatch.WorkerInfo
	// registered is true while the worker has a registration; unregisteredAt is when it lost its last one.
	registered     bool
	unregisteredAt time.Time
	// row is the worker's row, shared by all incarnations of its ID. The worker gets no runs before the row is stored, see
	// prepareWorkers.
	row *workerRow
	// storedPool is the pool in the row of an earlier epoch, until the worker is synced.
	storedPool string
	// runs holds the booked runs. An order may have reached any incarnation, so that only lists, or leases that have expired, end
	// a booking.
	runs map[runID]*run
	// leasesExpireBy is when all leases that the worker may hold have expired, unless it has started again unnoticed before one of
	// them was granted: unnoticedLeasesExpireBy is when they have expired in that case. It is zero once the worker has answered a
	// hold that was sent after leaseUnnoticedAt, the time of the last such grant.
	leasesExpireBy, unnoticedLeasesExpireBy, leaseUnnoticedAt time.Time
	// idleSince is when the last run ended; before the first run, it is when the scheduler learned of the worker.
	idleSince time.Time
	// longRunningRuns counts the runs of long-running tasks, and longRunningUse is the capacity booked for them.
	longRunningRuns int
	longRunningUse  beryllatch.Resources
	// reserved is the step that the worker is kept free for in the present pass.
	reserved *stepState
	used     beryllatch.Resources
	// yieldingCPU is the part of used that belongs to runs that yield, in millicores.
	yieldingCPU int

	// pendingStarts counts the start orders in flight.
	pendingStarts int
	nextHold      time.Time
	// unstoredListed is true while the worker is in Scheduler.unstored.
	unstoredListed bool

	// preparedFor is the name of the worker's instance while there is an order for it; the worker gets no new tasks.
	preparedFor string
	// instanceOrderSent is true once that order has been sent, and while maintenance of the instance may still be carried out late.
	instanceOrderSent bool
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
	return present && w.synced && s.hasRecentClock(w) && w.failedHolds == 0 && !w.answerMissing && w.row.stored && s.inService(w) &&
		s.mayGrantLease(w) && !w.health.isSuspect(s.now)
}

// inService reports whether the worker should keep running tasks: it is not draining, there is no order for its instance, and
// its data centre is not being evacuated.
func (s *Scheduler) inService(w *worker) bool {
	return !w.info.Draining && w.preparedFor == "" && !w.instanceOrderSent && !s.operations.Evacuated[w.info.DataCentre]
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
	ended, wasEnded := s.endedIncarnations[i.ID]
	if wasEnded && i.Incarnation == ended {
		return
	}
	w := s.workers[i.ID]
	if w == nil {
		// Earlier epochs have stored a row of each worker with runs, and this epoch has read all rows. A start order of an earlier epoch
		// to an ended incarnation may have reached this one.
		w = &worker{incarnation: s.newIncarnation(), info: i, registered: true, idleSince: s.now}
		w.synced, w.restarted = !wasEnded, wasEnded
		if wasEnded {
			w.leasesExpireBy = s.foreignLeasesExpireBy(s.startedAt)
		}
		if o := s.fleet.orders[i.Instance]; o != nil && o.wave > 0 && !o.wasSent() {
			w.preparedFor = i.Instance
		}
		w.instanceOrderSent = s.mayBeMaintainedLate(i.Instance)
		s.doubtOthers(w)
		s.addWorker(w)
		s.emit(Decision{Name: "worker_registered", Worker: i.ID, Detail: i.Pool})
		s.placementDue = true
		s.sendHoldIfDue(w)
		return
	}
	if i.Incarnation != 0 {
		s.beginIncarnation(w, i.Incarnation)
	}
	if i.Draining && !w.info.Draining {
		s.emit(Decision{Name: "worker_draining", Worker: i.ID})
	}
	changed := i.Address != w.info.Address || i.Pool != w.info.Pool
	if i.Pool != w.info.Pool {
		// By the stored row, a node that takes over would look for the worker's runs in another pool.
		w.row.stored = false
	}
	w.info, w.registered = i, true
	w.instanceOrderSent = w.instanceOrderSent || s.mayBeMaintainedLate(i.Instance)
	s.fleet.workerByInstance = nil
	if changed && w.prepared() {
		s.journal.setWorkerRow(i.ID, w.encode())
	}
	s.placementDue = true
	s.sendHoldIfDue(w)
}

// doubtOthers keeps the other workers on the instance of a new one from being used until they answer. Only the list of instances, or
// their leases, show that they have ended: anyone may register a worker on an instance.
func (s *Scheduler) doubtOthers(n *worker) {
	if n.info.Instance == "" {
		return
	}
	for _, w := range s.sortedWorkers {
		if w.info.Instance != n.info.Instance {
			continue
		}
		w.answerMissing = true
		if len(w.runs) > 0 || !w.synced {
			s.listSoon()
		}
		s.sendHoldIfDue(w)
	}
}

// endIncarnation writes off a worker whose incarnation had ended at the given time. Its registration may stay for a while and is
// ignored. Runs whose start orders were under way at that time may have reached another incarnation and stay booked.
func (s *Scheduler) endIncarnation(w *worker, at time.Time) {
	s.endedIncarnations[w.info.ID] = w.info.Incarnation
	for _, r := range s.runsOf(w) {
		if r.startsEndedBefore(at) {
			s.release(r)
			s.recordLostRun(r, "worker ended")
		}
	}
	w.incarnation = s.newIncarnation()
	w.synced = len(w.runs) == 0
	if w.synced {
		w.leasesExpireBy, w.unnoticedLeasesExpireBy = s.now, time.Time{}
	}
	s.unregister(w)
}

// startsEndedBefore reports whether no start order for the run was under way at the given time or later.
func (r *run) startsEndedBefore(at time.Time) bool {
	if r.phase == runUnconfirmed {
		return r.unconfirmedSince.Before(at)
	}
	return !r.confirmedAt.IsZero() && r.confirmedAt.Before(at)
}

// checkInstances ends the workers whose instance is not up or runs another worker, by a list of instances that was requested at
// the given time.
func (s *Scheduler) checkInstances(requestedAt time.Time) {
	listed := make(map[string]bool, len(s.fleet.instances))
	for _, i := range s.fleet.instances {
		if i.State == beryllatch.FleetInstanceUp {
			listed[i.Worker] = true
		}
	}
	for _, w := range s.sortedWorkers {
		i, ok := s.fleet.instances[w.info.Instance]
		// A registration may name an instance on which another worker runs, but the platform knows where each worker is.
		if w.info.Instance == "" || listed[w.info.ID] || !w.discoveredAt.Before(requestedAt) {
			continue
		}
		if !ok && w.registered || ok && i.State == "" {
			// The worker may have registered too late for the list, or the state of its instance is not known.
			continue
		}
		if len(w.runs) > 0 || !w.synced || w.registered {
			s.emit(Decision{Name: "worker_ended", Worker: w.info.ID, Detail: "instance is " + string(i.State), Age: s.now.Sub(requestedAt)})
			s.endIncarnation(w, requestedAt)
		}
	}
}

// mayHoldLease reports whether the worker may hold a lease that has not expired. The leases of this epoch end at known times, but a
// successor may extend them, so that only a proof from after their end counts.
func (s *Scheduler) mayHoldLease(w *worker) bool {
	end := laterTime(w.leasesExpireBy, w.unnoticedLeasesExpireBy)
	if s.provenAt().After(end) {
		return false
	}
	if s.now.After(end) {
		s.requestConfirmation()
	}
	return true
}

// checkLease writes off the runs of a worker once all its leases have expired.
func (s *Scheduler) checkLease(w *worker) {
	if s.mayHoldLease(w) {
		return
	}
	if w.failedHolds == 0 {
		// The worker has not been asked since, and may list a completion that an earlier epoch did not store. After a pause of this process
		// it may also have started again, with a longer lease from a late order.
		return
	}
	if !w.synced {
		w.synced, w.storedPool = true, ""
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its longest lease has run out"})
		s.placementDue = true
	}
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.recordLostRun(r, "lease ran out")
	}
}

// grantLease returns the end of a new lease by the worker's clock, or 0 if none can be granted. However old the reading of
// that clock is, the lease is not longer than leaseLength.
func (s *Scheduler) grantLease(w *worker) time.Duration {
	clock, ok := s.clockAtLeast(w)
	if !ok || !s.mayGrantLease(w) {
		return 0
	}
	length := s.leaseLength()
	if !s.inContact(w) {
		// The clock of another incarnation started anew, so that the end is far ahead on it, and the worker shortens the lease to
		// the longest possible one.
		w.unnoticedLeasesExpireBy, w.leaseUnnoticedAt = s.now.Add(expiryBound(s.Limits.MaxLease)), s.now
	}
	w.leasesExpireBy = laterTime(w.leasesExpireBy, s.now.Add(expiryBound(length)))
	return clock + length
}

// mayGrantLease reports whether a lease for the worker is certain to end in the time for which a successor waits.
func (s *Scheduler) mayGrantLease(w *worker) bool { return s.leaseLength() > 0 && !s.needsContact(w) }

// needsContact reports whether the worker must answer before it gets a lease. On one that has started again unnoticed, a lease may be
// the longest possible one, however short it was granted.
func (s *Scheduler) needsContact(w *worker) bool {
	return !s.inContact(w) && s.proofAge() > maxUnnoticedProofAge
}

// foreignLeasesExpireBy returns when the leases have expired that earlier epochs may have granted to a worker that can't be reached.
func (s *Scheduler) foreignLeasesExpireBy(since time.Time) time.Time {
	return since.Add(maxUnnoticedProofAge + expiryBound(s.Limits.MaxLease))
}

// noticeLeases records that the worker's present incarnation is the one to which the leases were granted before the given time.
func (w *worker) noticeLeases(sent time.Time) {
	if sent.After(w.leaseUnnoticedAt) {
		w.unnoticedLeasesExpireBy = time.Time{}
	}
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
