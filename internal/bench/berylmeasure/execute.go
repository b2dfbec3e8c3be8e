package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// maxRandomTries bounds the workers that random routing asks for one attempt.
const maxRandomTries = 4

// dispatch sends an attempt to a worker.
func (n *node) dispatch(e berylreducer.Dispatch) {
	f := n.fleet
	x := &execution{q: f.requests[e.ID], node: n, effect: e, sent: f.now, worker: f.workers[e.Instance]}
	if x.q == nil {
		return
	}
	if f.policy.randomRouting {
		n.sendRandom(x, 1)
		return
	}
	f.after(networkDelay, func() {
		if outcome, reason := f.offer(x); reason != "" {
			n.answer(x, outcome, reason)
		}
	})
}

// sendRandom asks random workers of the pool in turn until one starts the execution.
func (n *node) sendRandom(x *execution, tries int) {
	f := n.fleet
	x.worker = n.randomWorker(x)
	f.after(networkDelay, func() {
		outcome, reason := f.offer(x)
		switch {
		case reason == "":
		case tries < maxRandomTries:
			f.after(networkDelay, func() { n.sendRandom(x, tries+1) })
		default:
			n.answer(x, outcome, reason)
		}
	})
}

// randomWorker picks among the instances that the node's configuration allows, whatever is known about them.
func (n *node) randomWorker(x *execution) *worker {
	c := n.config
	pool := c.Queues[x.effect.Execution.Queue].Pool
	var ids []string
	for _, id := range n.fleet.order {
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

// offer lets the worker start the execution, or returns why it does not.
func (f *fleet) offer(x *execution) (beryllatch.ExecutionOutcome, beryllatch.Reason) {
	w, now := x.worker, epoch.Add(f.now)
	outcome, reason := w.admit(now, x.effect.Execution)
	if reason != "" {
		return outcome, reason
	}
	f.audit.starts(x)
	w.runs = append(w.runs, x)
	f.meter.started(x.q)
	runTime := x.q.runTime
	if x.failed = w.failing; x.failed {
		runTime = failTime
	}
	if lease := x.effect.Execution.LeaseExpiry.Sub(now); runTime > lease {
		f.after(lease, func() { f.stop(x, beryllatch.OutcomeUnknown) })
		return outcome, ""
	}
	f.after(runTime, func() { f.stop(x, beryllatch.OutcomeAnswered) })
	return outcome, ""
}

// stop ends an execution at its worker and sends the answer, unless it has ended before.
func (f *fleet) stop(x *execution, outcome beryllatch.ExecutionOutcome) {
	before := len(x.worker.runs)
	x.worker.remove(x)
	if len(x.worker.runs) == before {
		return
	}
	f.audit.stops(x)
	if f.requests[x.q.id] == x.q {
		f.meter.setPlace(x.q, placeWaiting)
	}
	reason := beryllatch.Reason("")
	if outcome != beryllatch.OutcomeAnswered {
		reason = beryllatch.ReasonAnswerLost
	}
	x.node.answer(x, outcome, reason)
}

// answer reports the end of an attempt to its node.
func (n *node) answer(x *execution, outcome beryllatch.ExecutionOutcome, reason beryllatch.Reason) {
	f := n.fleet
	f.after(networkDelay, func() {
		x.q.failed = x.failed
		n.post(berylreducer.ExecutionEnded{
			ID: x.effect.ID, Attempt: x.effect.Attempt, Outcome: outcome, Reason: reason,
			Duration: max(f.now-x.sent, time.Millisecond), Failed: x.failed, Replayable: true,
		})
	})
}
