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
	// pollInterval is the time between two rounds of polls, as in the daemon. maxPollRate bounds the polls of one node in
	// a round. A daemon makes only 2 to 10, so the simulated nodes know more about the workers; see docs/MEASURES.md.
	pollInterval = time.Second
	maxPollRate  = 50
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// tableDelay and networkDelay are the times that a message takes one way, to the table and to a node or worker.
	tableDelay   = 5 * time.Millisecond
	networkDelay = 500 * time.Microsecond
	// warmUp is the time at the start of a run that is not measured.
	warmUp = 20 * time.Second
	// sampleInterval is the time between two samples of the fleet's state.
	sampleInterval = time.Second
)

// epoch is the wall-clock time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The row of the configuration, and the partitions of the unit rows and the node rows.
var (
	configKey      = beryllatch.RowKey{Partition: "config", Sort: "document"}
	unitsPartition = "unit"
	nodesPartition = "node"
)

// fleet simulates one run: the nodes, workers and table of a deployment under one policy and one script.
type fleet struct {
	schedule
	deployment Deployment
	policy     Policy
	script     script
	seed       uint64
	table      table
	nodes      []*node
	workers    map[string]*worker
	// workerIDs holds the ids of the workers in ascending order.
	workerIDs []string
	// requests holds the requests that have not ended, by id.
	requests        map[string]*request
	teamLoadWeights []float64
	nodeLoadWeights []float64
	// operationCount is the number of operators' calls so far.
	operationCount int
	// scriptDone stops the requests and the samples. It is set at the end of the script's length, or earlier when the
	// last wave is done.
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
		requests: map[string]*request{}, nodeLoadWeights: nodeLoadWeights(d.Nodes),
	}
	for _, t := range d.Teams {
		f.teamLoadWeights = append(f.teamLoadWeights, s.teamLoadWeight(t))
	}
	f.meter = newMeter(f)
	f.audit = newAudit(f)
	f.mover = mover{fleet: f}
	f.table.compareAndSet(configKey, 0, c)
	f.addWorkers(c)
	f.addNodes()
	return f, nil
}

// addWorkers adds a worker for each instance, with its real slots and not those that the instance declares.
func (f *fleet) addWorkers(c beryllatch.Config) {
	f.workerIDs = beryllatch.SortedKeys(c.Instances)
	for _, id := range f.workerIDs {
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
		}, replyHandlers: map[string]func(berylreducer.ReplyOperator){}})
	}
}

// run simulates the script, and then continues without new requests until every request has ended, for at most a second
// longer than the longest deadline.
func (f *fleet) run() {
	for n, x := range f.nodes {
		// The starts are spread over an interval, since the timers of separate processes don't fire at the same time.
		f.after(time.Duration(n)*tickInterval/time.Duration(len(f.nodes)), func() { x.start(f.seed + uint64(n)) })
	}
	for n := range f.deployment.Work {
		newRequestSource(f, n).scheduleNext()
	}
	f.every(sampleInterval, f.sample)
	f.script.scheduleEvents(f)
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

// config returns the configuration that the table holds.
func (f *fleet) config() beryllatch.Config { return f.table[configKey].value.(beryllatch.Config) }

// submitChanges sends an operator's changes to the node with the number n; reply receives the answer.
func (f *fleet) submitChanges(n int, reply func(berylreducer.ReplyOperator), changes ...berylplan.Change) {
	f.operationCount++
	id := fmt.Sprintf("op-%d", f.operationCount)
	x := f.nodes[n%len(f.nodes)]
	x.replyHandlers[id] = reply
	x.post(berylreducer.ChangesRequested{CallID: id, Operator: "script", OperationID: id, Changes: changes})
}

// health returns the true state of the workers, without the delay of a poll.
func (f *fleet) health() berylplan.Health {
	h := make(berylplan.Health, len(f.workers))
	for id, w := range f.workers {
		h[id] = berylplan.InstanceHealth{Live: !w.rebooting, Idle: len(w.executions) == 0, BootID: w.bootID()}
	}
	return h
}

// sendRequest sends a request to its node.
func (f *fleet) sendRequest(q *request) {
	q.arrivedAt = f.now
	q.measured = f.now >= warmUp
	f.requests[q.id] = q
	f.meter.recordArrival(q)
	f.meter.setState(q, stateWaiting)
	e := berylreducer.RequestArrived{
		ID: q.id, KeyHash: keyHash(q.team), Queue: f.deployment.Work[q.work].Name, Idempotent: q.idempotent,
		Deadline: q.deadline, Urgent: q.urgent,
	}
	if q.keyed {
		e.IdempotencyKey = q.id
	}
	q.node.post(e)
}

// cancelRequest simulates a caller that closes its connection before the answer.
func (f *fleet) cancelRequest(q *request) {
	if !q.cancelled {
		q.cancelled = true
		q.node.post(berylreducer.RequestAbandoned{ID: q.id})
	}
}

// endRequest records the outcome of a request that the node has refused or answered.
func (f *fleet) endRequest(id string, outcome requestOutcome) {
	q := f.requests[id]
	if q == nil {
		return
	}
	delete(f.requests, id)
	f.meter.setState(q, stateNone)
	f.meter.recordOutcome(q, outcome)
}

// reboot starts a planned reboot of a worker, which interrupts the executions that still run there.
func (f *fleet) reboot(w *worker) {
	if w.rebooting {
		return
	}
	w.rebooting = true
	for len(w.executions) > 0 {
		f.audit.recordInterruption(w)
		f.endExecution(w.executions[0], beryllatch.OutcomeUnknown)
	}
	f.after(rebootTime, func() {
		w.rebooting = false
		w.reboots++
	})
}
