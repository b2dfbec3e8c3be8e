package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// startGrace is the time after which no start is allowed in a data centre that is out: the tenure, the last start-by
// and the clock allowance.
const startGrace = 5500 * time.Millisecond

// Promises that the audit checks against what the workers do.
const (
	PromiseCeiling    = "ceiling"
	PromiseOnePool    = "one_pool"
	PromiseBudget     = "budget"
	PromiseDataCentre = "start_in_data_centre_out"
	PromiseOnce       = "started_twice"
	PromiseGraceful   = "cut_by_planned_reboot"
)

// audit counts broken promises.
type audit struct {
	fleet *fleet
	// running counts the executions on all workers by team.
	running []int
	// outSince holds the data centres that are out.
	outSince map[string]time.Duration
	broken   map[string]int
}

func newAudit(f *fleet) audit {
	return audit{
		fleet: f, running: make([]int, len(f.deployment.Teams)), outSince: map[string]time.Duration{},
		broken: map[string]int{},
	}
}

// recordStart checks the start of an execution, which is not among the worker's runs yet.
func (a *audit) recordStart(x *execution) {
	f, q := a.fleet, x.q
	a.running[q.team]++
	if a.running[q.team] > f.config().Teams[f.deployment.Teams[q.team].Name].Ceiling {
		a.broken[PromiseCeiling]++
	}
	for _, other := range x.worker.executions {
		if other.q.work != q.work {
			a.broken[PromiseOnePool]++
			break
		}
	}
	if since, out := a.outSince[x.worker.dataCentre]; out && f.now-since > startGrace {
		a.broken[PromiseDataCentre]++
	}
	q.starts++
	if q.starts > 1 && !q.idempotent {
		a.broken[PromiseOnce]++
	}
}

func (a *audit) recordStop(x *execution) { a.running[x.q.team]-- }

// recordCut records an execution that a planned reboot ends.
func (a *audit) recordCut(*worker) { a.broken[PromiseGraceful]++ }

// checkConfig checks the budgets of a new configuration and follows the data centres.
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
			a.broken[PromiseBudget]++
		}
	}
}

// plannedUnavailable counts by service the instances that drain, reboot or move.
func plannedUnavailable(c beryllatch.Config) map[string]int {
	counts := map[string]int{}
	for _, i := range c.Instances {
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			counts[c.Pools[i.Pool].Service]++
		}
	}
	return counts
}

// outageUnavailable counts the other instances of a service in data centres that are out.
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
