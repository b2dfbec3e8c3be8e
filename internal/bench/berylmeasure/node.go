package berylmeasure

import (
	"math/rand/v2"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// node is one Reducer and the effects that it has under way.
type node struct {
	fleet   *fleet
	self    berylreducer.Identity
	reducer berylreducer.Reducer
	// config is the configuration that the reducer was given last.
	config beryllatch.Config
	// rowVersion is the version of the node's row.
	rowVersion uint64
	// demand is what the last heartbeat said.
	demand     []berylreducer.Demand
	nextReport int
	random     *rand.Rand
	replies    map[string]func(berylreducer.ReplyOperator)
}

func (n *node) start(seed uint64) {
	f := n.fleet
	n.random = rand.New(rand.NewPCG(seed, seed+1))
	n.post(berylreducer.Started{Self: n.self, Seed: seed})
	n.readInstances()
	n.readWorkers()
	f.every(tickInterval, func() { n.post(berylreducer.Ticked{}) })
	f.every(listInterval, n.readInstances)
	f.every(reportInterval, n.readWorkers)
}

// post applies an event and carries out its effects; none of them applies another event at once.
func (n *node) post(e berylreducer.Event) {
	for _, x := range n.reducer.Reduce(n.fleet.instant(), e) {
		n.execute(x)
	}
}

// adopt hands a configuration to the reducer.
func (n *node) adopt(c beryllatch.Config) {
	if c.Version > n.config.Version {
		n.config = c
	}
	n.post(berylreducer.ConfigRead{Config: c})
}

func (n *node) execute(x berylreducer.Effect) {
	f := n.fleet
	switch x := x.(type) {
	case berylreducer.Dispatch:
		n.dispatch(x)
	case berylreducer.Refuse:
		f.ended(x.ID, end{reason: x.Refusal.Reason})
	case berylreducer.Finish:
		f.finished(x.ID)
	case berylreducer.ReplayAnswer:
		f.finished(x.ID)
	case berylreducer.Count:
		f.meter.counters[x.Name] += x.N
	case berylreducer.RebootWorker:
		f.after(networkDelay, func() { f.rebootBoot(x) })
	case berylreducer.ReplyOperator:
		f.after(networkDelay, func() { n.replied(x) })
	default:
		n.executePlatform(x)
		n.executePeer(x)
	}
}

// finished ends a request that has an answer.
func (f *fleet) finished(id string) {
	q := f.requests[id]
	if q != nil {
		f.ended(id, end{done: !q.failed && f.now <= q.arrived+q.deadline})
	}
}

// rebootBoot reboots a worker that still runs the boot that the node saw.
func (f *fleet) rebootBoot(x berylreducer.RebootWorker) {
	if w := f.workers[x.Instance]; w.bootID() == x.BootID {
		f.reboot(w)
	}
}

func (n *node) replied(x berylreducer.ReplyOperator) {
	if reply := n.replies[x.CallID]; reply != nil {
		delete(n.replies, x.CallID)
		reply(x)
	}
}

// readInstances delivers the instance list: workers that reboot are not on it.
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

// readWorkers asks a bounded number of workers, in turn.
func (n *node) readWorkers() {
	f := n.fleet
	for range min(len(f.order), reportRate) {
		n.nextReport = (n.nextReport + 1) % len(f.order)
		report := f.workers[f.order[n.nextReport]].report()
		f.after(networkDelay, func() { n.post(report) })
	}
}
