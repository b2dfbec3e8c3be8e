package berylplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/beryllatch/beryllatch"
)

const (
	// unhealthyBase plus unhealthyPercent of the wave's instances is the default limit of unhealthy instances. In a
	// fleet of 630 instances with 7 failures and 61 restarts a day, a few instances are always down, which must not stop a
	// wave. The loss of a rack of 4 in a fleet of 50 must stop it.
	unhealthyBase    = 2
	unhealthyPercent = 1
)

// NextSteps returns the steps that are due and the configuration after them. If nothing is due, there are no steps and the
// configuration is unchanged.
func NextSteps(c beryllatch.Config, h Health) ([]Step, beryllatch.Config) {
	p := planner{config: c, health: h}
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		p.advanceInstance(c.Instances[id])
	}
	for _, id := range beryllatch.SortedKeys(c.Waves) {
		if c.Waves[id].State == beryllatch.WaveRunning {
			p.advanceWave(id)
		}
	}
	return p.steps, p.config
}

// planner collects steps. Each is computed on the configuration that results from the previous ones.
type planner struct {
	config beryllatch.Config
	health Health
	steps  []Step
	// counts caches the unavailable instances of each service for config; a step resets it to nil.
	counts map[string]unavailableCount
}

func (p *planner) unavailable(service string) int {
	if p.counts == nil {
		p.counts = unavailableCounts(p.config, p.health)
	}
	return p.counts[service].total
}

// tryStep adds a step and reports true, unless a rule refuses the step.
func (p *planner) tryStep(s Step) bool {
	next, err := applyOne(p.config, p.health, s)
	if err != nil {
		return false
	}
	p.config, p.counts = next, nil
	p.steps = append(p.steps, s)
	return true
}

// advanceInstance takes the next step of an instance that is draining or rebooting, if it is due.
func (p *planner) advanceInstance(i beryllatch.Instance) {
	health := p.health[i.ID]
	w := p.config.Waves[i.Wave]
	switch {
	case i.State == beryllatch.InstanceRebooting && rebooted(i, p.health):
		p.tryStep(Step{Kind: StepReturn, Instance: i.ID, Wave: i.Wave})
	case i.State != beryllatch.InstanceDraining:
	case i.Wave != "" && (w.ID == "" || w.State == beryllatch.WaveStopped || p.overBudget(i)):
		p.tryStep(Step{Kind: StepRelease, Instance: i.ID, Wave: i.Wave})
	case i.Wave != "" && health.Live && health.Idle && health.BootID != "":
		p.tryStep(Step{Kind: StepReboot, Instance: i.ID, Wave: i.Wave, BootID: health.BootID})
	case i.MoveTo != "" && health.Live && health.Idle:
		p.tryStep(Step{Kind: StepJoin, Instance: i.ID})
	}
}

// overBudget reports whether failures of other instances have pushed the service above its budget since the instance was
// drained. A live instance that is not rebooting yet then returns to service.
func (p *planner) overBudget(i beryllatch.Instance) bool {
	service := p.config.Pools[i.Pool].Service
	return p.unavailable(service) > p.config.Services[service].MaxUnavailable &&
		!p.config.DataCentres[i.DataCentre].Out && p.health[i.ID].Live
}

// advanceWave drains as many instances of the wave as the rules allow, or finishes or stops the wave.
func (p *planner) advanceWave(id string) {
	w := p.config.Waves[id]
	all := members(p.config, w)
	if unhealthy, limit := p.unhealthy(all), UnhealthyLimit(w, len(all)); unhealthy > limit {
		p.tryStep(Step{Kind: StepStop, Wave: id, Reason: fmt.Sprintf("%d instances are unhealthy, %d expected", unhealthy, limit)})
		return
	}
	left := remaining(w, all)
	if len(left) == 0 {
		p.tryStep(Step{Kind: StepFinish, Wave: id})
		return
	}
	dc, ok := p.currentDataCentre(id, left)
	if !ok {
		return
	}
	byService := map[string][]beryllatch.Instance{}
	for _, i := range left {
		s := p.config.Pools[i.Pool].Service
		byService[s] = append(byService[s], i)
	}
	for _, s := range w.Services {
		p.drainRack(id, s, dc, byService[s])
	}
}

// members returns the instances of a wave's services, unsorted.
func members(c beryllatch.Config, w beryllatch.Wave) []beryllatch.Instance {
	inWave := make(map[string]bool, len(c.Pools))
	for name, p := range c.Pools {
		inWave[name] = slices.Contains(w.Services, p.Service)
	}
	out := make([]beryllatch.Instance, 0, len(c.Instances))
	for _, i := range c.Instances {
		if inWave[i.Pool] {
			out = append(out, i)
		}
	}
	return out
}

// UnhealthyLimit returns the number of unhealthy instances above which a wave of n instances stops.
func UnhealthyLimit(w beryllatch.Wave, n int) int {
	if w.MaxUnhealthy > 0 {
		return w.MaxUnhealthy
	}
	return unhealthyBase + n*unhealthyPercent/100
}

// unhealthy counts the instances that are down unexpectedly, including those whose reboot takes too long.
func (p *planner) unhealthy(members []beryllatch.Instance) int {
	n := 0
	for _, i := range members {
		health := p.health[i.ID]
		planned := i.State == beryllatch.InstanceRebooting && !health.Overdue
		if !health.Live && !planned && !p.config.DataCentres[i.DataCentre].Out {
			n++
		}
	}
	return n
}

// remaining returns the members that are not done, sorted by data centre, rack and id.
func remaining(w beryllatch.Wave, members []beryllatch.Instance) []beryllatch.Instance {
	out := make([]beryllatch.Instance, 0, len(members))
	for _, i := range members {
		if _, done := slices.BinarySearch(w.Done, i.ID); !done {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b beryllatch.Instance) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.Rack, b.Rack), strings.Compare(a.ID, b.ID))
	})
	return out
}

// currentDataCentre returns the data centre in which the wave drains instances: the one in which it has instances under
// way, or else the first one with an instance that can be drained.
func (p *planner) currentDataCentre(wave string, left []beryllatch.Instance) (string, bool) {
	for _, i := range left {
		if p.underWay(wave, i) {
			return i.DataCentre, true
		}
	}
	for _, i := range left {
		if p.canStart(i) {
			return i.DataCentre, true
		}
	}
	return "", false
}

// underWay reports whether the wave waits for the instance before it continues with the next rack. It does not wait for an
// instance that is overdue or in a data centre out of service, so that one failed instance cannot block the wave, but the
// instance still counts against the budget.
func (p *planner) underWay(wave string, i beryllatch.Instance) bool {
	return i.Wave == wave && !p.health[i.ID].Overdue && !p.config.DataCentres[i.DataCentre].Out
}

// canStart reports whether the wave may drain the instance: it is active, live and not moving, and its data centre is in
// service.
func (p *planner) canStart(i beryllatch.Instance) bool {
	return i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		p.health[i.ID].Live && !p.config.DataCentres[i.DataCentre].Out
}

// drainRack drains instances of one rack of a service, up to the service's budget. left holds the service's instances that
// are not done.
func (p *planner) drainRack(wave, service, dc string, left []beryllatch.Instance) {
	rack, rackChosen := p.currentRack(wave, left)
	for _, i := range left {
		if i.DataCentre != dc || !p.canStart(i) {
			continue
		}
		if rackChosen && rackOf(i) != rack {
			continue
		}
		if p.unavailable(service) >= p.config.Services[service].MaxUnavailable {
			return
		}
		if !p.tryStep(Step{Kind: StepDrain, Instance: i.ID, Wave: wave}) {
			return
		}
		rack, rackChosen = rackOf(i), true
	}
}

// currentRack returns the rack in which the wave has instances under way, if there is one.
func (p *planner) currentRack(wave string, left []beryllatch.Instance) (string, bool) {
	for _, i := range left {
		if p.underWay(wave, i) {
			return rackOf(i), true
		}
	}
	return "", false
}

func rackOf(i beryllatch.Instance) string { return i.DataCentre + "/" + i.Rack }
