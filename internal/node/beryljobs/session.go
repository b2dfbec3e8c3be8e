package beryljobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylguard"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
)

const (
	// tickInterval is the time between the Ticked events, which trigger the decisions that depend on time alone.
	tickInterval = 100 * time.Millisecond
	// holdMargin is added to the time for which a worker may delay its answer to a hold call.
	holdMargin = 250 * time.Millisecond
	// slowCommit is how long a transaction must take to be logged: ten times the usual 8 ms.
	slowCommit = 80 * time.Millisecond
	// confirmTimeout bounds the transaction that confirms the epoch.
	confirmTimeout = time.Second
	// flushTimeout bounds the wait for the last transaction of an epoch.
	flushTimeout = 500 * time.Millisecond
)

// session is one epoch in which this node schedules.
type session struct {
	node *Node
	// self is the duty row of this epoch.
	self  schedulingNode
	began time.Time
	// servingSince is since when the node answers for the session.
	servingSince time.Time
	ctx          context.Context
	endEpoch     context.CancelFunc

	mu        sync.Mutex
	scheduler berylscheduler.Scheduler
	// recovered is true once the scheduler has the rows of earlier epochs. From then on deployment and operations are those that it
	// uses.
	recovered  bool
	deployment *beryllatch.Deployment
	operations *beryllatch.Operations
	// calls holds the channel for the answer of each waiting call, by the call's number.
	calls    map[uint64]chan error
	lastCall uint64
	closed   bool
	// storeTimeout and workerTimeout give the time-outs of transactions and of calls to workers.
	storeTimeout, workerTimeout adaptiveTimeout
	// registryVersion is the version of the store that the scheduler's registry shows.
	registryVersion int64
	// registryWatched is true once watchRegistry has been called.
	registryWatched bool
	// echoes holds the stamps that other nodes have echoed.
	echoes peerEchoes
	// peersSilent is true while a node has proven nothing for berylscheduler.MaxActingProofAge; run alone uses it.
	peersSilent bool
	// successor is the node that the scheduling role is handed to; "" while there is none.
	successor string
	// committing counts transactions in flight.
	committing sync.WaitGroup
}

// run passes the time and the changes of the registry to the scheduler until the epoch ends, the node stops or a
// successor is found.
func (s *session) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		s.node.keepRunning(s.ctx, "heartbeats", s.sendHeartbeats)
	})
	wg.Go(func() { s.node.keepRunning(s.ctx, "registry", s.watchRegistry) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.ctx.Err() == nil && ctx.Err() == nil && !s.node.stopping.Load() && s.successor == "" {
		select {
		case <-s.ctx.Done():
		case <-ticker.C:
			s.node.speed.sample()
			s.tick()
			s.successor = s.node.findSuccessor(s.began)
		case <-s.node.wake:
		}
	}
	s.flush()
	s.node.Metrics.Gauge(unechoedPeers, 0)
	s.node.reportWavesLeft(berylscheduler.WavesLeft{})
	s.endEpoch()
	wg.Wait()
}

// tick passes the time to the scheduler, with what the other nodes' echoes prove.
func (s *session) tick() {
	peers := s.peers()
	s.reportPeers(peers)
	s.apply(berylscheduler.Ticked{PeersAt: peers.at})
}

// flush waits for the transactions in flight, so that their callers are answered.
func (s *session) flush() {
	done := make(chan struct{})
	go func() {
		s.committing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// close answers the calls that still wait; whether their jobs were stored is unknown.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for call, c := range s.calls {
		c <- &beryllatch.Refusal{Reason: beryllatch.ReasonNodeStopping, RunState: beryllatch.RunStateUnknown}
		delete(s.calls, call)
	}
}

// apply is applyLocked under the lock.
func (s *session) apply(e berylscheduler.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(e)
}

// applyLocked passes an event to the scheduler, after the node's present configuration: it doesn't matter then which goroutine gets
// the session's lock first.
func (s *session) applyLocked(e berylscheduler.Event) {
	s.updateLocked()
	s.reduce(e)
}

// update makes the scheduler use the node's present configuration and operators' requests.
func (s *session) update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLocked()
}

func (s *session) updateLocked() {
	if !s.recovered {
		return
	}
	if d := s.node.deployment.Load(); d != s.deployment {
		s.deployment = d
		s.reduce(berylscheduler.DeploymentChanged{Deployment: d})
	}
	if o := s.node.operations.Load(); o != s.operations {
		s.operations = o
		s.reduce(berylscheduler.OperationsChanged{Operations: *o})
	}
}

// reduce passes an event to the scheduler and carries out the effects. It drops events after the end of the epoch: the calls and
// transactions that they would cause could only fail. A panic ends the epoch, since the scheduler's state can't be trusted any
// more; the next epoch, here or on another node, continues from the stored rows.
func (s *session) reduce(e berylscheduler.Event) {
	if s.ctx.Err() != nil {
		return
	}
	err := s.node.guard("scheduler", func() error {
		for _, f := range s.scheduler.Apply(time.Now(), e) {
			s.carryOut(f)
		}
		return nil
	})
	if err != nil {
		n := s.node
		n.Log.Event("resigned", n.Name, fmt.Sprintf("event %T caused a panic", e))
		s.endEpoch()
	}
}

// confirm asks the store whether this node still schedules. A transaction without changes is answered by the present state; a read
// may be answered by an older one.
func (s *session) confirm() {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	_, err := s.node.rows().Commit(ctx, beryllatch.RowTransaction{Conditions: []beryllatch.RowCondition{dutyCondition(s.self.version)}})
	var conflict *beryllatch.RowConflictError
	replaced := errors.As(err, &conflict)
	switch {
	case replaced:
		err = nil
	case err == nil:
		s.node.storeAnswered()
		s.echoes.recordStoreProof(sent)
	}
	s.apply(berylscheduler.EpochConfirmed{Current: !replaced, Err: err})
}

// carryOut starts an effect without waiting for its result, which comes back as an event.
func (s *session) carryOut(f berylscheduler.Effect) {
	n := s.node
	switch f := f.(type) {
	case berylscheduler.StartRun:
		n.Metrics.Count("orders.start", 1)
		go s.start(f)
	case berylscheduler.StopRun:
		n.Metrics.Count("orders.stop", 1)
		go s.stop(f)
	case berylscheduler.PaceRun:
		n.Metrics.Count("orders.pace", 1)
		go s.pace(f)
	case berylscheduler.HoldWorker:
		n.Metrics.Count("orders.hold", 1)
		go s.hold(f)
	case berylscheduler.CommitRows:
		s.committing.Add(1)
		go s.commit(f)
	case berylscheduler.AnswerCall:
		if c, ok := s.calls[f.Call]; ok {
			c <- f.Err
			delete(s.calls, f.Call)
		}
	case berylscheduler.ListInstances, berylscheduler.MoveInstance, berylscheduler.MaintainInstance, berylscheduler.WriteWaveStatus,
		berylscheduler.AskAdvice:
		go func() { s.apply(s.callPlatform(f)) }()
	case berylscheduler.WakeAfter:
		time.AfterFunc(f.Wait, func() {
			if s.ctx.Err() == nil {
				s.apply(berylscheduler.Woken{})
			}
		})
	case berylscheduler.ConfirmEpoch:
		go s.confirm()
	case berylscheduler.Resign:
		n.Log.Event("resigned", n.Name, f.Reason)
		s.endEpoch()
	case berylscheduler.WavesLeft:
		n.reportWavesLeft(f)
	case berylscheduler.Decision:
		n.Metrics.Count("decisions."+f.Name, 1)
		n.Log.Decision(s.self.Epoch, f)
	}
}

// wavesLeft is the gauge of the instances that open waves still have to maintain. There is one for each of the reasons, too, whose name
// begins with it.
const wavesLeft = "waves.left"

func (n *Node) reportWavesLeft(f berylscheduler.WavesLeft) {
	n.Metrics.Gauge(wavesLeft, int64(f.Left))
	for _, r := range berylscheduler.WaveReasons {
		n.Metrics.Gauge(wavesLeft+"."+r, int64(f.Reasons[r]))
	}
}

// callPlatform carries out an effect at the platform's instance interface, its store or its advisor, and returns its outcome.
func (s *session) callPlatform(f berylscheduler.Effect) berylscheduler.Event {
	n := s.node
	switch f := f.(type) {
	case berylscheduler.MoveInstance:
		return berylscheduler.InstanceOrderEnded{Instance: f.Instance, Err: n.guard("move", func() error {
			return n.Instances.Move(s.ctx, n.Name, s.self.Epoch, f.Instance, f.Pool)
		})}
	case berylscheduler.MaintainInstance:
		return berylscheduler.InstanceOrderEnded{Instance: f.Instance, Err: n.guard("maintenance", func() error {
			return n.Instances.Maintain(s.ctx, n.Name, s.self.Epoch, f.Instance, f.Wave)
		})}
	case berylscheduler.WriteWaveStatus:
		return berylscheduler.StatusWritten{Wave: f.Wave, Done: f.Done, Err: n.guard("wave status", func() error {
			_, err := n.rows().Commit(s.ctx, beryllatch.RowTransaction{
				Conditions: []beryllatch.RowCondition{dutyCondition(s.self.version)},
				Puts:       []beryllatch.DataRow{n.View.WaveStatus(f.Wave, f.Done)},
			})
			return err
		})}
	case berylscheduler.AskAdvice:
		e := berylscheduler.AdviceReceived{Step: f.Step, Workers: f.Workers}
		e.Err = n.guard("advice", func() (err error) {
			e.Tickets, e.Valid, err = n.Advisor.Advise(s.ctx, f.Step, f.Workers)
			return err
		})
		return e
	}
	var e berylscheduler.InstancesListed
	e.Err = n.guard("list of instances", func() (err error) {
		e.Instances, err = n.Instances.Instances(s.ctx)
		return err
	})
	return e
}

// callWorker makes a call to a worker, bounded by workerTimeout, and records the time of an answer.
func (s *session) callWorker(call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.workerTimeout.next())
	defer cancel()
	sent := time.Now()
	err := s.node.guard("call to a worker", func() error { return call(ctx) })
	var rejected *beryllatch.OrderRejectedError
	if err == nil || errors.As(err, &rejected) && rejected.Reason != beryllatch.RejectUnsent {
		s.workerTimeout.recordAnswer(time.Since(sent))
		s.node.Metrics.Time("orders.answer", time.Since(sent))
	}
	return err
}

func (s *session) start(f berylscheduler.StartRun) {
	e := berylscheduler.StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run}
	e.Err = s.callWorker(func(ctx context.Context) (err error) {
		e.Clock, err = s.node.Workers.Start(ctx, f.Worker, f.Order)
		return err
	})
	s.apply(e)
}

func (s *session) stop(f berylscheduler.StopRun) {
	e := berylscheduler.StopEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run}
	e.Err = s.callWorker(func(ctx context.Context) error {
		_, err := s.node.Workers.Stop(ctx, f.Worker, f.Order)
		return err
	})
	s.apply(e)
}

func (s *session) pace(f berylscheduler.PaceRun) {
	e := berylscheduler.PaceEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Percent: f.Order.Percent}
	e.Err = s.callWorker(func(ctx context.Context) error {
		_, err := s.node.Workers.Pace(ctx, f.Worker, f.Order)
		return err
	})
	s.apply(e)
}

func (s *session) hold(f berylscheduler.HoldWorker) {
	ctx, cancel := context.WithTimeout(s.ctx, f.Order.Wait+holdMargin+s.workerTimeout.next()-minWorkerTimeout)
	defer cancel()
	sent := time.Now()
	var lists beryllatch.WorkerLists
	err := s.node.guard("call to a worker", func() (err error) {
		lists, err = s.node.Workers.Hold(ctx, f.Worker, f.Order)
		return err
	})
	s.apply(berylscheduler.WorkerHeld{
		Worker: f.Worker.ID, Fence: f.Order.Fence, Acknowledge: f.Order.Acknowledge, Sent: sent, Lists: lists, Probe: f.Probe, Err: err,
	})
}

func (s *session) commit(f berylscheduler.CommitRows) {
	defer s.committing.Done()
	sent := time.Now()
	version, noAnswer, err := s.awaitCommit(f.Transaction)
	var unknown *beryllatch.UnknownOutcomeError
	var unavailable *beryllatch.UnavailableError
	switch {
	case errors.As(err, &unknown):
		s.storeTimeout.recordTimeout()
	case !errors.As(err, &unavailable):
		s.storeTimeout.recordAnswer(time.Since(sent))
		s.node.storeAnswered()
	}
	if err == nil {
		// Each of the scheduler's transactions requires the duty row of this epoch.
		s.echoes.recordStoreProof(sent)
	}
	s.node.Metrics.Time("store.commit", time.Since(sent))
	if took := time.Since(sent); took >= slowCommit {
		s.node.Log.SlowTransaction(f.Batch, len(f.Transaction.Conditions), took, err)
	}
	s.apply(berylscheduler.Committed{Batch: f.Batch, Version: version, StoreUnresponsive: noAnswer, Err: err})
}

// awaitCommit sends a transaction and waits for the answer. When storeTimeout has passed, a test read decides. If the
// store is slow, the wait continues up to maxStoreTimeout, as a repeated transaction would only queue behind the first
// one. A store that answers the read as usual has lost the answer, and one that does not answer it is unreachable: both
// end the wait. noAnswer is true if the transaction failed and the read was not answered either.
func (s *session) awaitCommit(tx beryllatch.RowTransaction) (version int64, noAnswer bool, err error) {
	type outcome struct {
		version int64
		err     error
	}
	rows := s.node.rows()
	ctx, cancel := context.WithTimeout(s.ctx, maxStoreTimeout)
	defer cancel()
	answered := make(chan outcome, 1)
	go func() {
		var version int64
		err := s.node.guard("transaction", func() (err error) {
			version, err = rows.Commit(ctx, tx)
			return err
		})
		var p *berylguard.PanicError
		if errors.As(err, &p) {
			err = &beryllatch.UnknownOutcomeError{Err: err}
		}
		answered <- outcome{version, err}
	}()
	timer := time.NewTimer(s.storeTimeout.next())
	defer timer.Stop()
	select {
	case o := <-answered:
		return o.version, false, o.err
	case <-timer.C:
	}
	speed := rows.ProbeStore(ctx, berylscheduler.DutyTable, berylscheduler.Part, berylscheduler.OwnerKey)
	if speed != berylrelay.StoreSlow {
		cancel()
	}
	o := <-answered
	if o.err != nil && ctx.Err() != nil && s.ctx.Err() == nil {
		rows.MarkUnreachable(o.err)
	}
	return o.version, o.err != nil && speed == berylrelay.StoreNoAnswer, o.err
}

// applyAndWait applies an event that carries the number of a call, and waits for the scheduler to answer that call.
func (s *session) applyAndWait(ctx context.Context, event func(call uint64) berylscheduler.Event) error {
	answer := make(chan error, 1)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return noScheduler("the node has just released the scheduling role")
	}
	s.lastCall++
	call := s.lastCall
	s.calls[call] = answer
	s.applyLocked(event(call))
	s.mu.Unlock()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.calls, call)
		s.mu.Unlock()
		return &beryllatch.Refusal{
			Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateUnknown,
			Detail: "the store has not confirmed in time",
		}
	}
}
