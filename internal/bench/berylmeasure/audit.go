package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// startGrace is how long work may still start in a data centre after its removal: the tenure (4 s), the start-by limit
// (1 s) and the allowance for clock skew (500 ms).
const startGrace = 5500 * time.Millisecond

// The promises that the audit checks.
const (
	// PromiseCeiling is broken if a team has more executions than its ceiling.
	PromiseCeiling = "ceiling"
	// PromiseOnePool is broken if a worker runs work of two pools at a time.
	PromiseOnePool = "one_pool"
	// PromiseBudget is broken if a new drain, reboot or move exceeds the disruption budget of a service.
	PromiseBudget = "budget"
	// PromiseDataCentre is broken if work starts in a data centre that has been out for longer than startGrace.
	PromiseDataCentre = "start_in_data_centre_out"
	// PromiseOnce is broken if a request that is not idempotent starts a second time.
	PromiseOnce = "started_twice"
	// PromiseGraceful is broken if a planned reboot interrupts work.
	PromiseGraceful = "cut_by_planned_reboot"
)

// audit checks every start of work and every change of the configuration, and counts the broken promises.
type audit struct {
	fleet *fleet
	// running is the number of executions on all workers, by team.
	running []int
	// outSince holds, for each data centre that is out, the time of its removal.
	outSince map[string]time.Duration
	// brokenPromises counts the broken promises by name.
	brokenPromises map[string]int
}

func newAudit(f *fleet) audit {
	return audit{
		fleet: f, running: make([]int, len(f.deployment.Teams)), outSince: map[string]time.Duration{},
		brokenPromises: map[string]int{},
	}
}

// recordStart checks the start of an execution. It is called before the execution is added to those of the worker.
func (a *audit) recordStart(x *execution) {
	f, q := a.fleet, x.q
	a.running[q.team]++
	if a.running[q.team] > f.config().Teams[f.deployment.Teams[q.team].Name].Ceiling {
		a.brokenPromises[PromiseCeiling]++
	}
	for _, other := range x.worker.executions {
		if other.q.work != q.work {
			a.brokenPromises[PromiseOnePool]++
			break
		}
	}
	if since, out := a.outSince[x.worker.dataCentre]; out && f.now-since > startGrace {
		a.brokenPromises[PromiseDataCentre]++
	}
	q.starts++
	if q.starts > 1 && !q.idempotent {
		a.brokenPromises[PromiseOnce]++
	}
}

func (a *audit) recordStop(x *execution) { a.running[x.q.team]-- }

// recordInterruption counts an execution that a planned reboot interrupts.
func (a *audit) recordInterruption(*worker) { a.brokenPromises[PromiseGraceful]++ }

// checkConfig checks a new configuration against the disruption budgets and records which data centres are out.
func (a *audit) checkConfig(before, after beryllatch.Config) {
	for name, d := range after.DataCentres {
		switch {
		case !d.Out:
			delete(a.outSince, name)
		case !before.DataCentres[name].Out:
			a.outSince[name] = a.fleet.now
		}
	}
	plannedBefore, plannedAfter := plannedUnavailable(before), plannedUnavailable(after)
	for name, n := range plannedAfter {
		if n > plannedBefore[name] && n+outageUnavailable(after, name) > after.Services[name].MaxUnavailable {
			a.brokenPromises[PromiseBudget]++
		}
	}
}

// plannedUnavailable returns the number of instances that drain, reboot or move, by service.
func plannedUnavailable(c beryllatch.Config) map[string]int {
	counts := map[string]int{}
	for _, i := range c.Instances {
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			counts[c.Pools[i.Pool].Service]++
		}
	}
	return counts
}

// outageUnavailable returns the number of instances of a service in data centres that are out, without those that
// plannedUnavailable counts.
func outageUnavailable(c beryllatch.Config, service string) int {
	n := 0
	for _, i := range c.Instances {
		active := i.State == beryllatch.InstanceActive && i.MoveTo == ""
		if active && c.DataCentres[i.DataCentre].Out && c.Pools[i.Pool].Service == service {
			n++
		}
	}
	return n
}
