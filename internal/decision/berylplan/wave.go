package berylplan

import (
	"fmt"
	"slices"

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
		p.advance(c.Instances[id])
	}
	for _, id := range beryllatch.SortedKeys(c.Waves) {
		if c.Waves[id].State == beryllatch.WaveRunning {
			p.wave(id)
		}
	}
	return p.steps, p.config
}

// planner collects steps, each computed on the configuration after the ones before it.
type planner struct {
	config beryllatch.Config
	health Health
	steps  []Step
}

// take applies a step unless a rule refuses it.
func (p *planner) take(s Step) bool {
	next, err := applyOne(p.config, p.health, s)
	if err != nil {
		return false
	}
	p.config = next
	p.steps = append(p.steps, s)
	return true
}

// advance takes the next step of an instance that is out of service by plan.
func (p *planner) advance(i beryllatch.Instance) {
	now := p.health[i.ID]
	w := p.config.Waves[i.Wave]
	switch {
	case i.State == beryllatch.InstanceRebooting && rebooted(i, p.health):
		p.take(Step{Kind: StepReturn, Instance: i.ID, Wave: i.Wave})
	case i.State != beryllatch.InstanceDraining:
	case i.Wave != "" && (w.ID == "" || w.State == beryllatch.WaveStopped || p.overBudget(i)):
		p.take(Step{Kind: StepRelease, Instance: i.ID, Wave: i.Wave})
	case i.Wave != "" && now.Live && now.Idle && now.BootID != "":
		p.take(Step{Kind: StepReboot, Instance: i.ID, Wave: i.Wave, BootID: now.BootID})
	case i.MoveTo != "" && now.Live && now.Idle:
		p.take(Step{Kind: StepJoin, Instance: i.ID})
	}
}

// overBudget reports whether failures have used up the budget that the instance was drained under; an instance that
// is not yet rebooting then returns at once.
func (p *planner) overBudget(i beryllatch.Instance) bool {
	service := p.config.Pools[i.Pool].Service
	return len(Unavailable(p.config, p.health)[service]) > p.config.Services[service].MaxUnavailable &&
		!p.config.DataCentres[i.DataCentre].Out && p.health[i.ID].Live
}

// wave starts as many instances as the rules allow, or ends the wave.
func (p *planner) wave(id string) {
	w := p.config.Waves[id]
	members := Members(p.config, w)
	if sick, most := p.unhealthy(members), Tolerance(w, len(members)); sick > most {
		p.take(Step{Kind: StepStop, Wave: id, Reason: fmt.Sprintf("%d instances are unhealthy, %d expected", sick, most)})
		return
	}
	left := remaining(p.config, w, members)
	if len(left) == 0 {
		p.take(Step{Kind: StepFinish, Wave: id})
		return
	}
	dc, ok := p.currentDataCentre(id, left)
	if !ok {
		return
	}
	for _, s := range w.Services {
		p.drainRack(id, s, dc, left)
	}
}

// Members returns the instances of a wave's services, sorted by data centre, rack and id.
func Members(c beryllatch.Config, w beryllatch.Wave) []beryllatch.Instance {
	var out []beryllatch.Instance
	for _, i := range c.Instances {
		if slices.Contains(w.Services, c.Pools[i.Pool].Service) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b beryllatch.Instance) int {
		return slices.Compare([]string{a.DataCentre, a.Rack, a.ID}, []string{b.DataCentre, b.Rack, b.ID})
	})
	return out
}

// Tolerance returns the number of unhealthy instances up to which a wave of n instances goes on.
func Tolerance(w beryllatch.Wave, n int) int {
	if w.MaxUnhealthy > 0 {
		return w.MaxUnhealthy
	}
	return unhealthyBase + n*unhealthyPercent/100
}

// unhealthy counts the instances that are down without a plan, and those whose planned reboot takes too long.
func (p *planner) unhealthy(members []beryllatch.Instance) int {
	n := 0
	for _, i := range members {
		now := p.health[i.ID]
		planned := i.State == beryllatch.InstanceRebooting && !now.Overdue
		if !now.Live && !planned && !p.config.DataCentres[i.DataCentre].Out {
			n++
		}
	}
	return n
}

func remaining(c beryllatch.Config, w beryllatch.Wave, members []beryllatch.Instance) []beryllatch.Instance {
	var out []beryllatch.Instance
	for _, i := range members {
		if !slices.Contains(w.Done, i.ID) {
			out = append(out, c.Instances[i.ID])
		}
	}
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

// drainRack drains instances of one rack of a service up to its budget.
func (p *planner) drainRack(wave, service, dc string, left []beryllatch.Instance) {
	rack, chosen := p.currentRack(wave, service, left)
	for _, i := range left {
		if p.config.Pools[i.Pool].Service != service || i.DataCentre != dc || !p.canStart(i) {
			continue
		}
		if chosen && rackOf(i) != rack {
			continue
		}
		if !p.take(Step{Kind: StepDrain, Instance: i.ID, Wave: wave}) {
			return
		}
		rack, chosen = rackOf(i), true
	}
}

// currentRack returns the rack in which the wave has instances of the service under way.
func (p *planner) currentRack(wave, service string, left []beryllatch.Instance) (string, bool) {
	for _, i := range left {
		if p.config.Pools[i.Pool].Service == service && p.underWay(wave, i) {
			return rackOf(i), true
		}
	}
	return "", false
}

func rackOf(i beryllatch.Instance) string { return i.DataCentre + "/" + i.Rack }
