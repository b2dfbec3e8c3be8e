package berylreducer

import (
	"math/rand/v2"
	"time"

	"github.com/beryllatch/beryllatch"
)

// shutdownGrace is how long a stopping node still accepts requests, since the load balancer notices only with a delay
// that the node is no longer ready.
const shutdownGrace = 5 * time.Second

// Reducer holds the state of one node. It must be used by a single goroutine; the zero value is ready for the Started
// event.
type Reducer struct {
	now  Instant
	self Identity
	rand *rand.Rand
	// jitter spreads calls over time. It is separate from rand so that drawing from it does not change the choice of
	// workers.
	jitter *rand.Rand
	// effects collects the effects of the current event.
	effects []Effect

	config  beryllatch.Config
	keys    map[string]beryllatch.APIKey
	tenure  tenureState
	members map[string]*member
	// inInstanceList is true once the platform's instance list has contained this node.
	inInstanceList bool
	// nextHeartbeatPeer is the index of the next peer to send a heartbeat to.
	nextHeartbeatPeer int
	configWatches     []configWatch
	// faults disables single safety mechanisms; only tests set it.
	faults  faults
	units   map[string]*teamUnits
	workers map[string]*workerState
	requestState
	tasks    taskState
	operate  operateState
	stopping bool
	// acceptUntil is when a stopping node begins to refuse new requests.
	acceptUntil time.Duration
	// idleSince is when a stopping node had completed its last request; 0 before that.
	idleSince time.Duration
	ready     bool
}

// Reduce applies one event and returns the effects that the node must carry out, in order.
func (r *Reducer) Reduce(now Instant, e Event) []Effect {
	r.now, r.effects = now, nil
	r.checkClock()
	switch e := e.(type) {
	case Started:
		r.start(e)
	case Ticked:
		r.tick()
	case Renewed:
		r.renewed(e)
	case KnownIncarnationsRead:
		r.knownIncarnationsRead(e)
	case RenewalFailed:
		r.renewalFailed(e)
	case ConfigRead:
		r.configRead(e)
	case HeartbeatReceived:
		r.heartbeatReceived(e)
	case GrantRequested:
		r.grantRequested(e)
	case InstancesListed:
		r.observeInstanceList(e)
		r.instancesListed(e)
	case WorkerReported:
		r.workerReported(e)
	case RequestArrived:
		r.requestArrived(e)
	case RequestAbandoned:
		r.requestAbandoned(e)
	case ExecutionEnded:
		r.executionEnded(e)
	case ExecutionStopped:
		r.executionStopped(e)
	case UnitsRead:
		r.unitsRead(e)
	case UnitsReadFailed:
		r.unitsReadFailed(e)
	case UnitsTransferred:
		r.unitsTransferred(e)
	case Reincarnated:
		r.reincarnated(e)
	case NodeDeleted:
		r.nodeDeleted(e)
	case ConfigNotified:
		r.configNotified(e)
	case ConfigCommitted:
		r.watchConfig(e.Version)
	case UnitsWritten:
		r.unitsWritten(e)
	case UnitsRequested:
		r.unitsRequested(e)
	case StopRequested:
		r.stopRequested()
	case StatusRequested:
		r.statusRequested(e)
	default:
		r.reduceClaim(e)
		r.reduceTask(e)
		r.reduceOperate(e)
	}
	r.operateAfter(e)
	r.updateReady()
	return r.effects
}

// Config returns the configuration in force.
func (r *Reducer) Config() beryllatch.Config { return r.config }

// Self returns the node's current identity.
func (r *Reducer) Self() Identity { return r.self }

// Nodes returns the number of registered nodes, at least 1.
func (r *Reducer) Nodes() int { return r.nodes() }

func (r *Reducer) emit(e ...Effect) { r.effects = append(r.effects, e...) }

func (r *Reducer) count(name string) { r.emit(Count{Name: name, N: 1}) }

func (r *Reducer) start(e Started) {
	r.self = e.Self
	r.rand = rand.New(rand.NewPCG(e.Seed, e.Seed))
	r.jitter = rand.New(rand.NewPCG(e.Seed, 1))
	r.keys = map[string]beryllatch.APIKey{}
	r.members = map[string]*member{}
	r.tenure.lastInstant = r.now
	r.units = map[string]*teamUnits{}
	r.workers = map[string]*workerState{}
	r.requestState = newRequestState(e.Slots)
	r.initTasks()
	r.renew()
}

func (r *Reducer) tick() {
	r.tickTenure()
	r.tickMembership()
	r.tickUnits()
	r.checkInForce()
	r.tickRequests()
	r.tickTasks()
	r.tickOperate()
	r.stopWhenIdle()
}

func (r *Reducer) stopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.acceptUntil = r.now.Mono + shutdownGrace
	r.emit(LogState{Subject: "node", From: string(NodeLive), To: string(NodeLeaving)})
	r.renew()
	r.stopWhenIdle()
}

// refusesNew reports whether a stopping node refuses new work, because the load balancer has had time to stop sending to
// it.
func (r *Reducer) refusesNew() bool {
	return r.stopping && (r.now.Mono >= r.acceptUntil || r.faults.ignoreGrace)
}

func (r *Reducer) stopWhenIdle() {
	idle := len(r.requests) == 0 && r.claimsIdle() && r.operateIdle() && r.tasksReleased()
	if r.refusesNew() && (idle || r.faults.leaveBusy) {
		r.leave()
	}
}

func (r *Reducer) updateReady() {
	ready := !r.stopping && r.mayStart() && r.config.Version > 0
	if ready == r.ready {
		return
	}
	r.ready = ready
	r.emit(SetReady{Ready: ready})
}
