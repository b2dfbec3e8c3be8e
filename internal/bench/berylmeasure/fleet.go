package berylmeasure

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	tickInterval = 100 * time.Millisecond
	// reportInterval is that of the daemon; reportRate is higher than its 2 to 10 reports a second, see docs/MEASURES.md.
	reportInterval = time.Second
	reportRate     = 50
	listInterval   = time.Second
	// The delays of one message in each direction.
	tableDelay   = 5 * time.Millisecond
	networkDelay = 500 * time.Microsecond
	// warmUp is the time before the first measured request.
	warmUp = 20 * time.Second
	// sampleInterval spaces the samples of the fleet's state.
	sampleInterval = time.Second
)

// epoch is the wall-clock time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	headKey     = beryllatch.RowKey{Partition: "config", Sort: "document"}
	unitsPrefix = "unit"
	nodesPrefix = "node"
)

// fleet is one run: nodes, workers and table of a deployment under one policy and one script.
type fleet struct {
	schedule
	deployment Deployment
	policy     Policy
	script     script
	seed       uint64
	table      table
	nodes      []*node
	workers    map[string]*worker
	// order lists the workers' ids in ascending order.
	order      []string
	requests   map[string]*request
	teamParts  []float64
	nodeParts  []float64
	operations int
	scriptDone bool
	meter      meter
	audit      audit
	mover      mover
}

func newFleet(d Deployment, p Policy, s script, seed uint64) (*fleet, error) {
	c, err := d.config(s.declaration, p)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		deployment: d, policy: p, script: s, seed: seed, table: table{}, workers: map[string]*worker{},
		requests: map[string]*request{}, nodeParts: nodeParts(d.Nodes),
	}
	for _, t := range d.Teams {
		f.teamParts = append(f.teamParts, s.teamPart(t))
	}
	f.meter = newMeter(f)
	f.audit = newAudit(f)
	f.mover = mover{fleet: f}
	f.table.compareAndSet(headKey, 0, c)
	f.addWorkers(c)
	f.addNodes()
	return f, nil
}

func (f *fleet) addWorkers(c beryllatch.Config) {
	f.order = beryllatch.SortedKeys(c.Instances)
	for _, id := range f.order {
		i := c.Instances[id]
		f.workers[id] = &worker{id: id, address: i.Address, dataCentre: i.DataCentre, slots: f.deployment.Slots}
	}
}

func (f *fleet) addNodes() {
	for n := range f.deployment.Nodes {
		name := fmt.Sprintf("n%02d", n)
		f.nodes = append(f.nodes, &node{fleet: f, self: berylreducer.Identity{
			Node: name, Incarnation: name + "-1", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10000+n),
			DataCentre: f.deployment.DataCentres[n%len(f.deployment.DataCentres)].Name,
		}, replies: map[string]func(berylreducer.ReplyOperator){}})
	}
}

// run plays the script and waits until every request has ended.
func (f *fleet) run() {
	for n, x := range f.nodes {
		// The nodes' timers are spread over their intervals, as those of separate processes are.
		f.after(time.Duration(n)*tickInterval/time.Duration(len(f.nodes)), func() { x.start(f.seed + uint64(n)) })
	}
	for n := range f.deployment.Work {
		newSource(f, n).next()
	}
	f.every(sampleInterval, f.sample)
	f.script.play(f)
	f.runUntil(f.script.length, func() bool { return f.scriptDone })
	f.scriptDone = true
	f.runUntil(f.now+waitDeadline+time.Second, func() bool { return len(f.requests) == 0 })
}

func (f *fleet) sample() {
	f.meter.sample()
	f.mover.step()
}

func (f *fleet) instant() berylreducer.Instant {
	return berylreducer.Instant{Mono: f.now, Wall: epoch.Add(f.now)}
}

// config returns the configuration document.
func (f *fleet) config() beryllatch.Config { return f.table[headKey].value.(beryllatch.Config) }

// operate sends an operator's changes through the node with the given number.
func (f *fleet) operate(n int, reply func(berylreducer.ReplyOperator), changes ...berylplan.Change) {
	f.operations++
	id := fmt.Sprintf("op-%d", f.operations)
	x := f.nodes[n%len(f.nodes)]
	x.replies[id] = reply
	x.post(berylreducer.OperatorAsked{CallID: id, Operator: "script", OperationID: id, Changes: changes})
}

// health returns the state of the workers as they know it themselves.
func (f *fleet) health() berylplan.Health {
	h := make(berylplan.Health, len(f.workers))
	for id, w := range f.workers {
		h[id] = berylplan.InstanceHealth{Live: !w.rebooting, Idle: len(w.runs) == 0, BootID: w.bootID()}
	}
	return h
}

// arrive hands a request to its node.
func (f *fleet) arrive(q *request) {
	q.arrived = f.now
	q.counted = f.now >= warmUp
	f.requests[q.id] = q
	f.meter.arrived(q)
	f.meter.setPlace(q, placeWaiting)
	e := berylreducer.RequestArrived{
		ID: q.id, KeyHash: keyHash(q.team), Queue: f.deployment.Work[q.work].Name, Idempotent: q.idempotent,
		Deadline: q.deadline, Urgent: q.urgent,
	}
	if q.keyed {
		e.IdempotencyKey = q.id
	}
	q.node.post(e)
}

// abandon closes the caller's connection.
func (f *fleet) abandon(q *request) {
	if !q.abandoned {
		q.abandoned = true
		q.node.post(berylreducer.RequestAbandoned{ID: q.id})
	}
}

// ended records the end of a request.
func (f *fleet) ended(id string, e end) {
	q := f.requests[id]
	if q == nil {
		return
	}
	delete(f.requests, id)
	f.meter.setPlace(q, placeNone)
	f.meter.ended(q, e)
}

// reboot restarts a worker; what still runs there is cut.
func (f *fleet) reboot(w *worker) {
	if w.rebooting {
		return
	}
	w.rebooting = true
	for len(w.runs) > 0 {
		f.audit.cut(w)
		f.stop(w.runs[0], beryllatch.OutcomeUnknown)
	}
	f.after(rebootTime, func() {
		w.rebooting = false
		w.boot++
	})
}
