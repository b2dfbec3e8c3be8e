package berylscheduler

import (
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
)

// modelSession is one epoch in which a node schedules.
type modelSession struct {
	model     *partitionModel
	node      *modelNode
	scheduler *Scheduler
	ended     bool
	// peers holds the nodes that have probed this one in this epoch.
	peers map[string]*modelPeer
	// answers holds what is done with the answer of each waiting call.
	answers  map[uint64]func(error)
	lastCall uint64
	// storeTimeouts and workerTimeouts count the calls without an answer since the last answer.
	storeTimeouts, workerTimeouts int
}

// modelPeer is what a session knows of another node; unreplacedAt is the latest time at which the node had not taken over, 0 if that
// is not known.
type modelPeer struct{ probedAt, unreplacedAt time.Duration }

func newModelSession(n *modelNode, d modelDuty, claimed time.Duration) *modelSession {
	s := &modelSession{
		model: n.model, node: n, peers: make(map[string]*modelPeer), answers: make(map[uint64]func(error)),
		scheduler: &Scheduler{Epoch: d.Epoch, OwnerVersion: d.version, Limits: modelLimits(), ClaimedAt: n.model.at(claimed)},
	}
	if n.model.options.changes {
		s.scheduler.Limits.JobRetention = shortRetention
	}
	if change := n.model.options.scheduler; change != nil {
		change(s.scheduler)
	}
	return s
}

func (s *modelSession) begin(e Recovered, registry []beryllatch.WorkerInfo) {
	s.apply(e)
	if change := s.model.options.recovered; change != nil {
		change(s.scheduler)
	}
	s.apply(RegistryRead{Workers: registry})
	s.apply(DeploymentChanged{s.model.deployment})
	if s.model.options.changes {
		s.watchConfiguration()
	}
	s.later(modelTick, s.tick)
	s.beat()
	s.watchRegistry(registry)
}

// registry returns the registrations of the workers.
func (m *partitionModel) registry() []beryllatch.WorkerInfo {
	var infos []beryllatch.WorkerInfo
	for _, w := range m.workers {
		infos = append(infos, w.registered)
	}
	return infos
}

// watchRegistry passes on the registrations that have changed.
func (s *modelSession) watchRegistry(known []beryllatch.WorkerInfo) {
	if s.ended {
		return
	}
	callStore(s.node, modelStoreTimeout, func(*modelStore) []beryllatch.WorkerInfo { return s.model.registry() },
		func(infos []beryllatch.WorkerInfo, err error) {
			var changed []beryllatch.WorkerInfo
			for i, info := range infos {
				if info.Incarnation > known[i].Incarnation {
					changed = append(changed, info)
				}
			}
			if len(changed) > 0 {
				s.apply(RegistryChanged{Workers: changed})
			}
			if err == nil {
				known = infos
			}
			s.later(modelRegistryPause, func() { s.watchRegistry(known) })
		})
}

// later runs something on the node.
func (s *modelSession) later(d time.Duration, run func()) {
	s.model.after(d, func() { s.model.whenAwake(s.node.name, run) })
}

func (s *modelSession) tick() {
	if s.ended {
		return
	}
	s.apply(Ticked{PeersAt: s.peersAt()})
	s.later(modelTick, s.tick)
}

// peersAt returns the latest time at which, by their probes, no other node had taken over; zero if that is not known.
func (s *modelSession) peersAt() time.Time {
	at := s.model.now
	for _, n := range s.model.nodes {
		p := s.peers[n.name]
		switch {
		case p == nil || s.model.options.trustPeers:
		case s.mayForget(p):
			delete(s.peers, n.name)
		case p.unreplacedAt == 0:
			return time.Time{}
		default:
			at = min(at, p.unreplacedAt)
		}
	}
	return s.model.at(at)
}

// mayForget reports whether the other node had not taken over when the store last proved the epoch, and no longer may by its last answer.
func (s *modelSession) mayForget(p *modelPeer) bool {
	if s.model.options.forgetSilent {
		return s.model.now-p.probedAt > modelKnownPeerTime
	}
	return s.scheduler.proof.storeAt.After(s.model.at(p.probedAt + modelKnownPeerTime))
}

// beat writes heartbeats.
func (s *modelSession) beat() {
	if s.ended {
		return
	}
	sent := s.model.now
	tx := beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
		{Table: modelBeatTable, Part: modelBeatTable, Key: OwnerKey, Value: []byte(s.node.name)},
	}}
	callStore(s.node, modelBeatTimeout, func(st *modelStore) storeAnswer { return st.commit(tx) }, func(_ storeAnswer, err error) {
		if err == nil {
			s.apply(HeartbeatStored{Sent: s.model.at(sent)})
		}
		s.later(modelHeartbeat, s.beat)
	})
}

func (s *modelSession) apply(e Event) {
	if s.ended {
		return
	}
	if change := s.model.options.event; change != nil {
		s.scheduler.now = s.model.time()
		change(s.scheduler)
	}
	for _, f := range s.scheduler.Apply(s.model.time(), e) {
		s.carryOut(f)
	}
}

// carryOut starts an effect; its result comes back as an event.
func (s *modelSession) carryOut(f Effect) {
	m := s.model
	switch f := f.(type) {
	case StartRun:
		s.callWorker(f.Worker.ID, func(w *modelWorker) workerAnswer { return w.start(f.Order) }, func(a workerAnswer, err error) {
			s.apply(StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Clock: a.clock, Err: err})
		})
	case StopRun:
		s.callWorker(f.Worker.ID, func(w *modelWorker) workerAnswer { return w.stop(f.Order) }, func(_ workerAnswer, err error) {
			s.apply(StopEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: err})
		})
	case HoldWorker:
		s.hold(f)
	case CommitRows:
		s.commit(f)
	case AnswerCall:
		if done := s.answers[f.Call]; done != nil {
			delete(s.answers, f.Call)
			m.after(0, func() { done(f.Err) })
		}
	case WakeAfter:
		s.later(f.Wait, func() { s.apply(Woken{}) })
	case ConfirmEpoch:
		s.confirm()
	case ListInstances:
		s.later(5*time.Millisecond, func() {
			e := InstancesListed{}
			for _, w := range m.workers {
				e.Instances = append(e.Instances, beryllatch.FleetInstance{
					Name: w.info.Instance, Pool: w.info.Pool, State: beryllatch.FleetInstanceUp, Worker: w.name, Capacity: w.info.Capacity,
				})
			}
			s.apply(e)
		})
	case MoveInstance:
		// The platform of the model allows no moves.
		s.later(5*time.Millisecond, func() {
			s.apply(InstanceOrderEnded{Instance: f.Instance, Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceInvalid}})
		})
	case Resign:
		m.logf(s.node.name, "", "resigns in epoch %d: %s", s.scheduler.Epoch, f.Reason)
		s.ended = true
		if s.node.session == s {
			s.node.session = nil
		}
	case Decision:
		if f.Task != "" && f.Name != "run_start" {
			m.logf(s.node.name, f.Task, "epoch %d: %s run %d on %s: %s", s.scheduler.Epoch, f.Name, f.Run, f.Worker, f.Detail)
		}
	}
}

// callWorker sends an order to a worker.
func (s *modelSession) callWorker(id string, serve func(*modelWorker) workerAnswer, done func(workerAnswer, error)) {
	s.callWorkerWithin(s.workerTimeout(), id, func(w *modelWorker, reply func(workerAnswer)) { reply(serve(w)) }, done)
}

func (s *modelSession) callWorkerWithin(
	timeout time.Duration, id string, serve func(*modelWorker, func(workerAnswer)), done func(workerAnswer, error),
) {
	var w *modelWorker
	for _, o := range s.model.workers {
		if o.name == id {
			w = o
		}
	}
	sent := s.model.now
	call(s.model, s.node.name, id, timeout, func(reply func(workerAnswer)) {
		carryOut := func(reply func(workerAnswer)) { w.carryOut(sent, func() { serve(w, reply) }) }
		if s.model.losesOrder() {
			s.model.after(s.model.between(earliestOrder, latestOrder), func() { carryOut(func(workerAnswer) {}) })
			return
		}
		carryOut(reply)
	}, func(a workerAnswer, err error) {
		switch {
		case err == nil:
			s.workerTimeouts = 0
			err = a.err()
			w.listed(a.lists)
		case errors.Is(err, errUnsent):
			s.workerTimeouts++
			err = &beryllatch.OrderRejectedError{Reason: beryllatch.RejectUnsent, Err: err}
		default:
			s.workerTimeouts++
		}
		done(a, err)
	})
}

// workerTimeout grows while no call is answered.
func (s *modelSession) workerTimeout() time.Duration {
	return min(200*time.Millisecond<<min(s.workerTimeouts/8, 3), 1400*time.Millisecond)
}

func (s *modelSession) hold(f HoldWorker) {
	sent := s.model.time()
	timeout := f.Order.Wait + 50*time.Millisecond + s.workerTimeout()
	s.callWorkerWithin(timeout, f.Worker.ID, func(w *modelWorker, reply func(workerAnswer)) { w.hold(f.Order, reply) },
		func(a workerAnswer, err error) {
			s.apply(WorkerHeld{Worker: f.Worker.ID, Fence: f.Order.Fence, Acknowledge: f.Order.Acknowledge, Sent: sent, Lists: a.lists, Probe: f.Probe, Err: err})
		})
}

// commit sends a transaction. After the time-out a read shows whether the store answers at all.
func (s *modelSession) commit(f CommitRows) {
	timeout := 120 * time.Millisecond << min(s.storeTimeouts, 4)
	if s.model.options.ignoreBarrier {
		f.Transaction = withoutBarrier(f.Transaction)
	}
	lost := s.model.delayCommit(f.Transaction)
	callStore(s.node, timeout, func(st *modelStore) storeAnswer {
		if lost {
			return storeAnswer{}
		}
		return st.commit(f.Transaction)
	}, func(a storeAnswer, err error) {
		if lost {
			err = errLate
		}
		e := Committed{Batch: f.Batch, Version: a.version, Err: a.err}
		if err == nil {
			s.storeTimeouts = 0
			s.apply(e)
			return
		}
		s.storeTimeouts++
		e.Err = &beryllatch.UnknownOutcomeError{Err: err}
		if errors.Is(err, errUnsent) {
			e.Err = &beryllatch.UnavailableError{Err: err}
		}
		callStore(s.node, modelProbeTimeout, func(*modelStore) bool { return true }, func(_ bool, err error) {
			e.StoreUnresponsive = err != nil
			s.apply(e)
		})
	})
}

// confirm reads whether this node still schedules.
func (s *modelSession) confirm() {
	s.node.readDuty(func(d modelDuty, ok bool) {
		e := EpochConfirmed{Current: d.version == s.scheduler.OwnerVersion}
		if !ok {
			e.Err = errLate
		}
		s.apply(e)
	})
}

// submit hands a job in.
func (s *modelSession) submit(j beryllatch.Job, done func(error)) {
	s.lastCall++
	s.answers[s.lastCall] = done
	s.apply(JobSubmitted{Call: s.lastCall, Job: j})
}
