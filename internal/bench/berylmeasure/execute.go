package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// maxRandomWorkers is the largest number of workers that random routing asks to start one attempt.
const maxRandomWorkers = 4

// dispatch sends an attempt to the worker that the node has chosen, or to a random one under the policy random_routing.
func (n *node) dispatch(e berylreducer.Dispatch) {
	f := n.fleet
	x := &execution{q: f.requests[e.ID], node: n, dispatch: e, sentAt: f.now, worker: f.workers[e.Instance]}
	if x.q == nil {
		return
	}
	if f.policy.randomRouting {
		n.sendRandom(x, 1)
		return
	}
	f.after(networkDelay, func() {
		if outcome, reason := f.startExecution(x); reason != "" {
			n.reportCompletion(x, outcome, reason)
		}
	})
}

// sendRandom asks random workers of the pool, one after another, until one starts the execution; workers counts those
// that have been asked, this one included. Only the refusal of the last one is reported to the node.
func (n *node) sendRandom(x *execution, workers int) {
	f := n.fleet
	x.worker = n.randomWorker(x)
	f.after(networkDelay, func() {
		outcome, reason := f.startExecution(x)
		switch {
		case reason == "":
		case workers < maxRandomWorkers:
			f.after(networkDelay, func() { n.sendRandom(x, workers+1) })
		default:
			n.reportCompletion(x, outcome, reason)
		}
	})
}

// randomWorker returns a random instance of the pool among those that the node's configuration allows, whatever their
// load and state. If it allows none, the worker of the execution stays the same.
func (n *node) randomWorker(x *execution) *worker {
	c := n.config
	pool := c.Queues[x.dispatch.Execution.Queue].Pool
	var ids []string
	for _, id := range n.fleet.workerIDs {
		i := c.Instances[id]
		if i.Pool == pool && i.State == beryllatch.InstanceActive && !c.DataCentres[i.DataCentre].Out {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return x.worker
	}
	return n.fleet.workers[ids[n.random.IntN(len(ids))]]
}

// startExecution starts the execution on its worker. If the worker refuses, the reason is not empty. An execution that
// would run longer than its lease is stopped at the expiry, and its outcome is unknown to the node.
func (f *fleet) startExecution(x *execution) (beryllatch.ExecutionOutcome, beryllatch.Reason) {
	w, now := x.worker, epoch.Add(f.now)
	outcome, reason := w.admit(now, x.dispatch.Execution)
	if reason != "" {
		return outcome, reason
	}
	f.audit.recordStart(x)
	w.executions = append(w.executions, x)
	f.meter.recordStart(x.q)
	runTime := x.q.runTime
	if x.failed = w.failing; x.failed {
		runTime = failureTime
	}
	if lease := x.dispatch.Execution.LeaseExpiry.Sub(now); runTime > lease {
		f.after(lease, func() { f.endExecution(x, beryllatch.OutcomeUnknown) })
		return outcome, ""
	}
	f.after(runTime, func() { f.endExecution(x, beryllatch.OutcomeAnswered) })
	return outcome, ""
}

// endExecution removes the execution from its worker and sends the answer to the node; a second call for the same
// execution does nothing.
func (f *fleet) endExecution(x *execution, outcome beryllatch.ExecutionOutcome) {
	count := len(x.worker.executions)
	x.worker.remove(x)
	if len(x.worker.executions) == count {
		return
	}
	f.audit.recordStop(x)
	if f.requests[x.q.id] == x.q {
		f.meter.setState(x.q, stateWaiting)
	}
	reason := beryllatch.Reason("")
	if outcome != beryllatch.OutcomeAnswered {
		reason = beryllatch.ReasonAnswerLost
	}
	x.node.reportCompletion(x, outcome, reason)
}

// reportCompletion tells the node that has dispatched the attempt how it ended.
func (n *node) reportCompletion(x *execution, outcome beryllatch.ExecutionOutcome, reason beryllatch.Reason) {
	f := n.fleet
	f.after(networkDelay, func() {
		x.q.failed = x.failed
		n.post(berylreducer.ExecutionEnded{
			ID: x.dispatch.ID, Attempt: x.dispatch.Attempt, Outcome: outcome, Reason: reason,
			Duration: max(f.now-x.sentAt, time.Millisecond), Failed: x.failed, Replayable: true,
		})
	})
}
