package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// drainSettle separates the moment at which a drain is in force everywhere from the first report that counts: the
	// last start-by (1 s), the clock allowance (500 ms) and a report that was already on its way (1 s).
	drainSettle = startByLimit + 500*time.Millisecond + time.Second
	// stepOverdue is when a drain or a reboot counts as failed; both together take about 60 s.
	stepOverdue = 10 * time.Minute
)

// workerRunning is the load that a worker last reported.
type workerRunning struct {
	running int
	at      time.Duration
}

// plannedInstance is this node's knowledge of an instance that is out of service by plan.
type plannedInstance struct {
	state        beryllatch.InstanceState
	drainVersion uint64
	since        time.Duration
	// settled is when no node can start work there any more; 0 while that is unknown.
	settled time.Duration
	// asked is when a reboot was last requested or first seen.
	asked time.Duration
}

func (r *Reducer) workerRunningReported(e WorkerReported) {
	if r.operate.reports == nil {
		r.operate.reports = map[string]workerRunning{}
	}
	if _, ok := r.config.Instances[e.Instance]; ok {
		r.operate.reports[e.Instance] = workerRunning{running: e.Running, at: r.now.Mono}
	}
}

// trackPlanned follows the instances that are out of service by plan, and forgets the others.
func (r *Reducer) trackPlanned() {
	if r.operate.planned == nil {
		r.operate.planned = map[string]plannedInstance{}
	}
	for id := range r.operate.planned {
		if i := r.config.Instances[id]; i.ID == "" || i.State == beryllatch.InstanceActive {
			delete(r.operate.planned, id)
		}
	}
	inForce := r.lowestInForce()
	for id, i := range r.config.Instances {
		if i.State == beryllatch.InstanceActive {
			continue
		}
		p, ok := r.operate.planned[id]
		if !ok || p.state != i.State || p.drainVersion != i.DrainVersion {
			p = plannedInstance{state: i.State, drainVersion: i.DrainVersion, since: r.now.Mono, asked: r.now.Mono}
		}
		if p.settled == 0 && inForce >= i.DrainVersion {
			p.settled = r.now.Mono + drainSettle
		}
		r.operate.planned[id] = p
	}
}

// health returns the node's view of the fleet; a worker that has not reported to this node counts as not live.
func (r *Reducer) health() berylplan.Health {
	h := make(berylplan.Health, len(r.config.Instances))
	for id := range r.config.Instances {
		w := r.workers[id]
		if w == nil {
			continue
		}
		p := r.operate.planned[id]
		h[id] = berylplan.InstanceHealth{
			Live:    w.bootID != "" && !w.unhealthy && !w.leaving,
			Idle:    r.instanceIdle(id),
			BootID:  w.bootID,
			Overdue: p.state != "" && r.now.Mono-p.since >= stepOverdue,
		}
	}
	return h
}

// instanceIdle reports whether nothing runs on a drained instance and no node can start anything there.
func (r *Reducer) instanceIdle(id string) bool {
	p, report := r.operate.planned[id], r.operate.reports[id]
	settled := p.settled > 0 && report.at >= p.settled || r.faults.ignoreSettle
	return r.faults.rebootBusy || settled && report.running == 0 && r.workers[id].running == 0
}
