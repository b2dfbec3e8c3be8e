package berylscheduler

import (
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// holdWait is how long a worker may delay its answer; it leaves most of the lease for retries.
	holdWait = time.Second
	// lossyWait is the wait while answers get lost: a hold without an answer tells nothing of the ends meanwhile.
	lossyWait = 250 * time.Millisecond
	// lossMemory is how long a lost answer makes others likely.
	lossMemory = 3 * time.Second
	// unsettledWait is the wait while the outcome of an order is open.
	unsettledWait = 100 * time.Millisecond
	// watchWait is the wait for workers whose serving tasks share with fillers.
	watchWait = 400 * time.Millisecond
	// outagePause spaces the looks at a worker whose ends cannot be stored.
	outagePause = 100 * time.Millisecond
	// endPause gathers the ends on a busy worker into one answer.
	endPause = 80 * time.Millisecond
	// holdRetry spaces the attempts to reach a worker that does not answer.
	holdRetry = 300 * time.Millisecond
	// registryGrace is how long an entry may take to come back after an outage of the store.
	registryGrace = 2500 * time.Millisecond
)

// worker is a worker with what the scheduler has booked on it.
type worker struct {
	info beryllatch.WorkerInfo
	// registered is true while the worker has a registration.
	registered bool
	missing    time.Time
	// since is when the scheduler learned of the worker.
	since time.Time
	// row is shared by the lives of the worker's ID; the worker is used once it is stored.
	row *storedWorker
	// known is true once the worker's lists of this epoch have been read, or it surely runs nothing of before.
	known bool
	runs  map[runID]*run
	// serving counts the runs of long-running tasks, and lasting is what they take.
	serving int
	lasting beryllatch.Resources
	// reserved is the step that the worker is kept free for, in the present pass.
	reserved *stepRun
	// starting counts the start orders without an outcome.
	starting int
	used     beryllatch.Resources

	holding bool
	// looking is true while a look is under way, beside a hold that waits for an end.
	looking bool
	// doubted is true from an order without an answer to the next answer: the worker gets no new tasks meanwhile.
	doubted  bool
	holdNext time.Time
	// failures counts the holds without an answer, one after the other.
	failures int
	// heard is when the last answered hold was sent.
	heard time.Time
	// clock is the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseBound is when every lease that the worker may have has surely run out.
	leaseBound time.Time

	// seen is the number of the last end that was taken, acknowledged the last that may be forgotten.
	seen, acknowledged, sentAck int64
	ends                        []pendingEnd

	health health
	speed  speed
	// closing is the instance's name while an order for it is being prepared; such a worker gets no new tasks.
	closing string
	// leaving is true once the order has been sent.
	leaving bool
}

// pendingEnd is an end that may be acknowledged once the job's change is stored.
type pendingEnd struct {
	number int64
	job    *job
	change uint64
}

// runID names a run.
type runID struct {
	task string
	n    int
}

func (w *worker) address() beryllatch.WorkerAddress {
	return beryllatch.WorkerAddress{ID: w.info.ID, Address: w.info.Address}
}

func (w *worker) encode() []byte { return mustEncode(w.info) }

// usable reports whether new runs may go to the worker. A registration that lapsed during an outage of the store may come
// back for a while after it.
func (s *Scheduler) usable(w *worker) bool {
	present := w.registered || (!w.missing.IsZero() && s.now.Sub(w.missing) < registryGrace)
	return present && w.known && !w.clockAt.IsZero() && w.failures == 0 && !w.doubted && w.row.version > 0 && s.stays(w) &&
		!w.health.suspect(s.now)
}

// stays reports whether nobody has asked for the worker to be emptied.
func (s *Scheduler) stays(w *worker) bool {
	return !w.info.Draining && w.closing == "" && !s.operations.Evacuated[w.info.DataCentre]
}

func (s *Scheduler) readRegistry(workers []beryllatch.WorkerInfo) {
	present := make(map[string]bool, len(workers))
	for _, i := range workers {
		present[i.ID] = true
	}
	for _, w := range s.ordered {
		if !present[w.info.ID] {
			s.unregister(w)
		}
	}
	for _, i := range workers {
		s.register(i)
	}
	for _, w := range s.ordered {
		s.holdDue(w)
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
	w.registered, w.missing = false, s.now
	s.emit(Decision{Name: "worker_gone", Worker: w.info.ID, Detail: "its registration is gone"})
	s.placeable = true
}

func (s *Scheduler) register(i beryllatch.WorkerInfo) {
	if over, ok := s.over[i.ID]; ok && i.Incarnation <= over {
		return
	}
	w := s.workers[i.ID]
	if w == nil {
		w = &worker{info: i, registered: true, since: s.now}
		if s.now.Sub(s.began) < s.lapse() {
			// An earlier epoch may have used it without its row being read.
			w.leaseBound = s.began.Add(s.lapse())
		} else {
			w.known = true
		}
		s.replaceLife(w)
		s.addWorker(w)
		s.journal.setWorker(i.ID, w.encode())
		s.emit(Decision{Name: "worker_registered", Worker: i.ID, Detail: i.Pool})
		s.placeable = true
		s.holdDue(w)
		return
	}
	if i.Incarnation != 0 && w.info.Incarnation != 0 && i.Incarnation > w.info.Incarnation {
		s.reborn(w, i.Incarnation)
	}
	if i.Incarnation != 0 && i.Incarnation < w.info.Incarnation {
		return
	}
	if i.Draining && !w.info.Draining {
		s.emit(Decision{Name: "worker_draining", Worker: i.ID})
	}
	moved := i.Address != w.info.Address
	w.info, w.registered = i, true
	s.fleet.onInstance = nil
	if moved {
		s.journal.setWorker(i.ID, w.encode())
	}
	s.placeable = true
}

// replaceLife ends the earlier lives of the instance that a new worker runs on.
func (s *Scheduler) replaceLife(n *worker) {
	if n.info.Instance == "" {
		return
	}
	for _, w := range s.ordered {
		if w.info.Instance == n.info.Instance && w.info.Incarnation < n.info.Incarnation {
			s.endLife(w)
		}
	}
}

// endLife writes off a worker that surely runs nothing any more; its registration may stay for a while.
func (s *Scheduler) endLife(w *worker) {
	s.over[w.info.ID] = w.info.Incarnation
	s.reborn(w, w.info.Incarnation)
	w.leaseBound = s.now
	s.unregister(w)
}

// checkLives ends the workers whose instance is no longer up with them, by a list that was asked for at the given time.
func (s *Scheduler) checkLives(asked time.Time) {
	for _, w := range s.ordered {
		i, ok := s.fleet.instances[w.info.Instance]
		if w.info.Instance == "" || !w.since.Before(asked) {
			continue
		}
		if !ok && w.registered {
			// It may have joined too late for the list.
			continue
		}
		if i.State != beryllatch.FleetInstanceUp || i.Worker != w.info.ID {
			if len(w.runs) > 0 || !w.known || w.registered {
				s.emit(Decision{Name: "worker_ended", Worker: w.info.ID, Detail: "instance is " + string(i.State)})
				s.endLife(w)
			}
		}
	}
}

// reborn drops everything that ran before a worker started again.
func (s *Scheduler) reborn(w *worker, born int64) {
	s.emit(Decision{Name: "worker_restarted", Worker: w.info.ID})
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.requeue(r, "worker restarted")
	}
	w.info.Incarnation = born
	s.fleet.onInstance = nil
	w.seen, w.acknowledged, w.sentAck, w.ends, w.starting = 0, 0, 0, nil, 0
	w.clockAt, w.failures, w.known, w.health = time.Time{}, 0, true, health{}
	w.speed = speed{}
	w.doubted, w.looking = false, false
	s.placeable = true
}

// checkLease writes off the runs of a worker whose leases have run out.
func (s *Scheduler) checkLease(w *worker) {
	if s.now.Before(w.leaseBound) {
		return
	}
	if !w.known {
		w.known = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its longest lease has run out"})
		s.placeable = true
	}
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.requeue(r, "lease ran out")
	}
}

// clockNow estimates the worker's clock; false before its first answer.
func (s *Scheduler) clockNow(w *worker) (time.Duration, bool) {
	if w.clockAt.IsZero() {
		return 0, false
	}
	return w.clock + s.now.Sub(w.clockAt), true
}

func (w *worker) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
}

// grant returns the end of a new lease on the worker's clock.
func (s *Scheduler) grant(w *worker) time.Duration {
	clock, ok := s.clockNow(w)
	if !ok {
		return 0
	}
	w.leaseBound = later(w.leaseBound, s.now.Add(s.lapse()))
	return clock + s.lease()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unsettled reports whether the outcome of an order to the worker is open.
func (w *worker) unsettled() bool {
	for _, r := range w.runs {
		if r.phase == runUnsettled || r.phase == runStopping {
			return true
		}
	}
	return false
}

// holdDue sends the next hold when there is something to hold, to learn or to acknowledge.
func (s *Scheduler) holdDue(w *worker) {
	if w.holding || s.now.Before(w.holdNext) || s.resigned {
		return
	}
	if !w.registered && w.known && len(w.runs) == 0 {
		return
	}
	ack := s.acknowledgeable(w)
	open := len(w.ends) > 0
	if w.known && len(w.runs) == 0 && ack == w.sentAck && !w.clockAt.IsZero() {
		return
	}
	order := beryllatch.HoldOrder{Fence: s.Epoch, Acknowledge: ack, Wait: holdWait}
	switch {
	case !w.known || w.clockAt.IsZero() || len(w.runs) == 0:
		order.Wait = 0
	case open:
		// Unstored ends are listed at once: waiting for the store saves a look.
		if s.now.Sub(w.heard) < outagePause {
			return
		}
		order.Wait = 0
	case w.failures > 0:
		order.Wait = 0
	case w.unsettled():
		order.Wait = unsettledWait
	case s.now.Before(s.lossUntil):
		order.Wait = lossyWait
	case w.watched():
		order.Wait = watchWait
	}
	w.holding = true
	s.sendHold(w, order, false)
}

func (s *Scheduler) sendHold(w *worker, order beryllatch.HoldOrder, look bool) {
	// A worker that does not answer gets no longer lease: its runs are written off when the last one has run out.
	if w.failures == 0 {
		order.LeaseEnd = s.grant(w)
	}
	w.sentAck = order.Acknowledge
	s.emit(HoldWorker{Worker: w.address(), Incarnation: w.info.Incarnation, Order: order, Probe: look})
}

// look asks for a worker's lists at once, also beside a hold that waits for an end.
func (s *Scheduler) look(w *worker) {
	if w.looking || s.resigned {
		return
	}
	w.looking = true
	s.sendHold(w, beryllatch.HoldOrder{Fence: s.Epoch, Acknowledge: s.acknowledgeable(w)}, true)
}

// noteLoss remembers that an order was not answered, by a worker that answers others.
func (s *Scheduler) noteLoss(w *worker) {
	w.doubted = true
	if w.failures == 0 {
		s.lossUntil = s.now.Add(lossMemory)
	}
}

// acknowledgeable returns the number of the last end up to which all are stored.
func (s *Scheduler) acknowledgeable(w *worker) int64 {
	for len(w.ends) > 0 {
		p := w.ends[0]
		if p.job != nil && p.job.row.stored < p.change && s.jobs[p.job.ID] == p.job {
			break
		}
		w.acknowledged = p.number
		w.ends = w.ends[1:]
	}
	return w.acknowledged
}

// held takes the answer to a hold.
func (s *Scheduler) held(e WorkerHeld) {
	w := s.workers[e.Worker]
	if w == nil || w.info.Incarnation != e.Incarnation {
		return
	}
	if e.Probe {
		w.looking = false
	} else {
		w.holding = false
	}
	if e.Err != nil {
		s.holdFailed(w, e)
		return
	}
	w.doubted = false
	if e.Lists.Incarnation > w.info.Incarnation {
		if w.info.Incarnation != 0 {
			s.reborn(w, e.Lists.Incarnation)
		}
		w.info.Incarnation = e.Lists.Incarnation
		s.fleet.onInstance = nil
	}
	if w.failures > 0 {
		s.emit(Decision{Name: "worker_regained", Worker: w.info.ID})
		w.failures = 0
		s.placeable = true
	}
	w.holdNext = time.Time{}
	if len(e.Lists.Finished) > 0 && len(e.Lists.Running) > 0 {
		w.holdNext = s.now.Add(endPause)
		s.emit(WakeAfter{endPause})
	}
	w.setClock(e.Lists.Clock, s.now)
	if !w.known {
		w.known = true
		s.placeable = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its lists are read"})
	}
	if e.Sent.After(w.heard) || w.heard.IsZero() {
		w.heard = e.Sent
		s.takeLists(w, e)
	}
	s.holdDue(w)
}

func (s *Scheduler) holdFailed(w *worker, e WorkerHeld) {
	var rejected *beryllatch.OrderRejectedError
	switch {
	case errors.As(e.Err, &rejected) && rejected.Reason == beryllatch.RejectFence:
		s.resign("worker " + w.info.ID + " has seen a later epoch")
	case e.Sent.Before(w.heard):
		// A later look was answered.
		s.noteLoss(w)
		w.doubted = false
		s.holdDue(w)
	default:
		s.workerSilent(w, e.Err)
	}
}

// workerSilent notes that a worker has not answered; the first time it is asked again at once, since single answers get lost.
func (s *Scheduler) workerSilent(w *worker, err error) {
	if w.failures == 0 {
		s.emit(Decision{Name: "worker_lost", Worker: w.info.ID, Detail: err.Error(), Age: s.now.Sub(w.heard)})
		s.noteLoss(w)
	}
	w.failures++
	w.holdNext = s.now.Add(holdRetry)
	if w.failures == 1 {
		w.holdNext = s.now
	}
	s.listSoon()
	s.holdDue(w)
}
