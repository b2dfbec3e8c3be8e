package berylscheduler

import (
	"maps"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// countLabelShortages fills in by how much the waiting tasks of each pool that require a label exceed what is free there.
func (s *Scheduler) countLabelShortages(pools map[string]*poolDemand, instanceCPU int) {
	found := false
	for _, j := range s.active {
		p := pools[j.queue.Pool]
		if p == nil || !j.rows.jobStored {
			continue
		}
		for st := range j.waitingSteps {
			if label := st.spec.RequiredLabel; label != "" {
				if p.labelShortage == nil {
					p.labelShortage, p.instanceCPU = make(map[string]int), instanceCPU
				}
				found = true
				p.labelShortage[label] += st.spec.ReservedCapacity().CPUMilli * st.tasksWaiting
			}
		}
	}
	if !found {
		return
	}
	for name, i := range s.fleet.instances {
		if o := s.fleet.orders[name]; o != nil {
			if p := pools[o.pool]; o.wave == 0 && p != nil {
				p.addLabelled(i)
			}
		} else if w := s.workerOn(name); w != nil && w.registered && pools[w.info.Pool] != nil {
			i.Capacity.CPUMilli -= w.used.CPUMilli
			pools[w.info.Pool].addLabelled(i)
		}
	}
}

// addLabelled reduces the shortages by the capacity of an instance.
func (p *poolDemand) addLabelled(i beryllatch.FleetInstance) {
	for _, label := range i.Labels {
		if _, ok := p.labelShortage[label]; ok {
			p.labelShortage[label] -= i.Capacity.CPUMilli
		}
	}
}

// scarcestLabel returns the label with the largest shortage, or "" if no label is short.
func (p *poolDemand) scarcestLabel() string {
	scarcest := ""
	for _, label := range slices.Sorted(maps.Keys(p.labelShortage)) {
		if n := p.labelShortage[label]; n > 0 && (scarcest == "" || n > p.labelShortage[scarcest]) {
			scarcest = label
		}
	}
	return scarcest
}
