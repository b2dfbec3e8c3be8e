package berylplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/beryllatch/beryllatch"
)

const (
	// unhealthyBase and unhealthyPercent give the default bound of unhealthy instances: a few are always down at
	// 7 failures and 61 restarts a day, while a lost rack of 4 must stop the wave of a fleet of 50.
	unhealthyBase    = 2
	unhealthyPercent = 1
)

// NextSteps returns the steps that are due, and the configuration after them; both stay empty and as they were when
// nothing is due.
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

// planner collects steps, each computed on the configuration after the ones before it.
type planner struct {
	config beryllatch.Config
	health Health
	steps  []Step
	// counts holds the counts under config; nil after a step until they are needed.
	counts map[string]unavailableCount
}

func (p *planner) unavailable(service string) int {
	if p.counts == nil {
		p.counts = unavailableCounts(p.config, p.health)
	}
	return p.counts[service].total
}

// tryStep applies a step unless a rule refuses it.
func (p *planner) tryStep(s Step) bool {
	next, err := applyOne(p.config, p.health, s)
	if err != nil {
		return false
	}
	p.config, p.counts = next, nil
	p.steps = append(p.steps, s)
	return true
}

// advanceInstance takes the next step of an instance that is out of service by plan.
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

// overBudget reports whether failures have used up the budget that the instance was drained under; an instance that
// is not yet rebooting then returns at once.
func (p *planner) overBudget(i beryllatch.Instance) bool {
	service := p.config.Pools[i.Pool].Service
	return p.unavailable(service) > p.config.Services[service].MaxUnavailable &&
		!p.config.DataCentres[i.DataCentre].Out && p.health[i.ID].Live
}

// advanceWave starts as many instances as the rules allow, or ends the wave.
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

// members returns the instances of a wave's services in no order.
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

// UnhealthyLimit returns the number of unhealthy instances up to which a wave of n instances goes on.
func UnhealthyLimit(w beryllatch.Wave, n int) int {
	if w.MaxUnhealthy > 0 {
		return w.MaxUnhealthy
	}
	return unhealthyBase + n*unhealthyPercent/100
}

// unhealthy counts the instances that are down without a plan, and those whose planned reboot takes too long.
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

// remaining returns the members that are not done, by data centre, rack and id.
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

// currentDataCentre returns the data centre in which the wave goes on: the one with instances under way, else the
// first with an instance that can start.
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

// underWay reports whether the wave waits for the instance; an overdue one holds its share of the budget, but no
// longer the order of racks, so that one dead instance does not stop the wave.
func (p *planner) underWay(wave string, i beryllatch.Instance) bool {
	return i.Wave == wave && !p.health[i.ID].Overdue && !p.config.DataCentres[i.DataCentre].Out
}

func (p *planner) canStart(i beryllatch.Instance) bool {
	return i.State == beryllatch.InstanceActive && i.MoveTo == "" &&
		p.health[i.ID].Live && !p.config.DataCentres[i.DataCentre].Out
}

// drainRack drains instances of one rack of a service up to its budget; left holds the instances of the service.
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

// currentRack returns the rack in which the wave has some of the instances under way.
func (p *planner) currentRack(wave string, left []beryllatch.Instance) (string, bool) {
	for _, i := range left {
		if p.underWay(wave, i) {
			return rackOf(i), true
		}
	}
	return "", false
}

func rackOf(i beryllatch.Instance) string { return i.DataCentre + "/" + i.Rack }
