package berylmeasure

import (
	"math/rand/v2"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// node is a Reducer and the simulation of its effects.
type node struct {
	fleet   *fleet
	self    berylreducer.Identity
	reducer berylreducer.Reducer
	// config is the newest configuration that the reducer has received.
	config beryllatch.Config
	// rowVersion is the version of the node's row in the table.
	rowVersion uint64
	// demand is the demand that the node sent with its last heartbeats.
	demand []berylreducer.Demand
	// lastPolled is the index in workerIDs of the worker that was polled last.
	lastPolled int
	// random chooses the workers of random routing.
	random *rand.Rand
	// replyHandlers receive the answers to operators' calls, by call id.
	replyHandlers map[string]func(berylreducer.ReplyOperator)
}

// start posts the first event and starts the node's timers.
func (n *node) start(seed uint64) {
	f := n.fleet
	n.random = rand.New(rand.NewPCG(seed, seed+1))
	n.post(berylreducer.Started{Self: n.self, Seed: seed})
	n.readInstances()
	n.pollWorkers()
	f.every(tickInterval, func() { n.post(berylreducer.Ticked{}) })
	f.every(listInterval, n.readInstances)
	f.every(pollInterval, n.pollWorkers)
}

// post applies an event and carries out its effects. Answers to effects are always scheduled and never posted at once,
// so that no event is applied while the effects of another one are being carried out.
func (n *node) post(e berylreducer.Event) {
	for _, x := range n.reducer.Reduce(n.fleet.instant(), e) {
		n.execute(x)
	}
}

// deliverConfig passes a configuration that was read from the table to the reducer.
func (n *node) deliverConfig(c beryllatch.Config) {
	if c.Version > n.config.Version {
		n.config = c
	}
	n.post(berylreducer.ConfigRead{Config: c})
}

// execute carries out an effect.
func (n *node) execute(x berylreducer.Effect) {
	f := n.fleet
	switch x := x.(type) {
	case berylreducer.Dispatch:
		n.dispatch(x)
	case berylreducer.Refuse:
		f.endRequest(x.ID, requestOutcome{reason: x.Refusal.Reason})
	case berylreducer.Finish:
		f.requestAnswered(x.ID)
	case berylreducer.ReplayAnswer:
		f.requestAnswered(x.ID)
	case berylreducer.Count:
		f.meter.counters[x.Name] += x.N
	case berylreducer.RebootWorker:
		f.after(networkDelay, func() { f.rebootIfUnchanged(x) })
	case berylreducer.ReplyOperator:
		f.after(networkDelay, func() { n.deliverReply(x) })
	default:
		n.executeTable(x)
		n.executePeer(x)
	}
}

// requestAnswered ends a request that has an answer. The request is done if the answer is in time and not a failure.
func (f *fleet) requestAnswered(id string) {
	q := f.requests[id]
	if q != nil {
		f.endRequest(id, requestOutcome{done: !q.failed && f.now <= q.arrivedAt+q.deadline})
	}
}

// rebootIfUnchanged reboots a worker unless it has rebooted since the node decided on it.
func (f *fleet) rebootIfUnchanged(x berylreducer.RebootWorker) {
	if w := f.workers[x.Instance]; w.bootID() == x.BootID {
		f.reboot(w)
	}
}

func (n *node) deliverReply(x berylreducer.ReplyOperator) {
	if reply := n.replyHandlers[x.CallID]; reply != nil {
		delete(n.replyHandlers, x.CallID)
		reply(x)
	}
}

// readInstances reads the instance list, which leaves out workers that are rebooting.
func (n *node) readInstances() {
	f := n.fleet
	list := make(map[string]beryllatch.InstanceStatus, len(f.workers)+len(f.nodes))
	for _, w := range f.workers {
		if !w.rebooting {
			list[w.address] = beryllatch.InstanceStatus{Address: w.address}
		}
	}
	for _, x := range f.nodes {
		list[x.self.PeerAddress] = beryllatch.InstanceStatus{Address: x.self.PeerAddress}
	}
	f.after(tableDelay, func() { n.post(berylreducer.InstancesListed{Instances: list}) })
}

// pollWorkers makes one round of polls: it asks the next workers, up to maxPollRate, for their state.
func (n *node) pollWorkers() {
	f := n.fleet
	for range min(len(f.workerIDs), maxPollRate) {
		n.lastPolled = (n.lastPolled + 1) % len(f.workerIDs)
		report := f.workers[f.workerIDs[n.lastPolled]].report()
		f.after(networkDelay, func() { n.post(report) })
	}
}
