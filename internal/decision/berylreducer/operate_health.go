package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// drainSettle is the time from when a drain is in force on all nodes until a report of the worker can show that it is
	// idle: the start-by limit (1 s), the allowance for clock differences (500 ms) and the delay of a report (1 s).
	drainSettle = startByLimit + 500*time.Millisecond + time.Second
	// stepOverdue is the time after which a drain or a reboot counts as failed; both together take about 60 s.
	stepOverdue = 10 * time.Minute
)

// workerLoad is the number of executions that a worker last reported, received at the time at.
type workerLoad struct {
	running int
	at      time.Duration
}

// drainProgress is this node's view of an instance that is not active, such as one that is draining or rebooting.
type drainProgress struct {
	state        beryllatch.InstanceState
	drainVersion uint64
	// stateSince is when this node first found the instance in the state.
	stateSince time.Duration
	// settledAt is the time from which reports show whether the worker is idle, since no node can start work there any
	// more; 0 until the drain is in force on all nodes.
	settledAt time.Duration
	// rebootRequestedAt is when this node last requested a reboot, or stateSince before that.
	rebootRequestedAt time.Duration
}

func (r *Reducer) recordWorkerLoad(e WorkerReported) {
	if r.operate.workerLoads == nil {
		r.operate.workerLoads = map[string]workerLoad{}
	}
	if _, ok := r.config.Instances[e.Instance]; ok {
		r.operate.workerLoads[e.Instance] = workerLoad{running: e.Running, at: r.now.Mono}
	}
}

// trackDrains updates the progress of the instances that are not active, and removes that of the others.
func (r *Reducer) trackDrains() {
	if r.operate.drains == nil {
		r.operate.drains = map[string]drainProgress{}
	}
	for id := range r.operate.drains {
		if i := r.config.Instances[id]; i.ID == "" || i.State == beryllatch.InstanceActive {
			delete(r.operate.drains, id)
		}
	}
	inForce := r.lowestInForce()
	for id, i := range r.config.Instances {
		if i.State == beryllatch.InstanceActive {
			continue
		}
		p, ok := r.operate.drains[id]
		if !ok || p.state != i.State || p.drainVersion != i.DrainVersion {
			p = drainProgress{state: i.State, drainVersion: i.DrainVersion, stateSince: r.now.Mono, rebootRequestedAt: r.now.Mono}
		}
		if p.settledAt == 0 && inForce >= i.DrainVersion {
			p.settledAt = r.now.Mono + drainSettle
		}
		r.operate.drains[id] = p
	}
}

// health returns the node's view of the fleet. A worker that has not reported to this node counts as not live.
func (r *Reducer) health() berylplan.Health {
	h := make(berylplan.Health, len(r.config.Instances))
	for id := range r.config.Instances {
		w := r.workers[id]
		if w == nil {
			continue
		}
		p := r.operate.drains[id]
		h[id] = berylplan.InstanceHealth{
			Live:    w.bootID != "" && !w.unhealthy && !w.listedLeaving,
			Idle:    r.instanceIdle(id),
			BootID:  w.bootID,
			Overdue: p.state != "" && r.now.Mono-p.stateSince >= stepOverdue,
		}
	}
	return h
}

// instanceIdle reports whether nothing runs on a drained instance and no node can start work there any more.
func (r *Reducer) instanceIdle(id string) bool {
	p, report := r.operate.drains[id], r.operate.workerLoads[id]
	settled := p.settledAt > 0 && report.at >= p.settledAt || r.faults.ignoreSettle
	return r.faults.rebootBusy || settled && report.running == 0 && r.workers[id].running == 0
}
