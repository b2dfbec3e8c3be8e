package berylscheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// labelNeed is a pool's need for an instance with a label.
type labelNeed struct{ pool, label string }

// labelNeedTime is how long a need counts after it was last recorded.
const labelNeedTime = time.Second

// recordLabelNeed records that no worker of the pool can take the task because of the label that it requires.
func (s *Scheduler) recordLabelNeed(t *task) {
	q, ok := s.queueOf(t.step.job)
	if label := t.step.spec.RequiredLabel; ok && label != "" {
		if s.fleet.labelNeeds == nil {
			s.fleet.labelNeeds = make(map[labelNeed]time.Time)
		}
		s.fleet.labelNeeds[labelNeed{q.Pool, label}] = s.now
	}
}

// moveLabelledInstances moves instances into pools in which no instance has the label that a waiting task requires. Such a pool
// may have enough instances, so the targets of the pools don't show the need.
func (s *Scheduler) moveLabelledInstances(pools []*poolDemand) {
	byName := func(a, b labelNeed) int {
		return cmp.Or(strings.Compare(a.pool, b.pool), strings.Compare(a.label, b.label))
	}
	for _, need := range slices.SortedFunc(maps.Keys(s.fleet.labelNeeds), byName) {
		if s.now.Sub(s.fleet.labelNeeds[need]) > labelNeedTime {
			delete(s.fleet.labelNeeds, need)
			continue
		}
		n := slices.IndexFunc(pools, func(p *poolDemand) bool { return p.name == need.pool && !p.standby })
		if n < 0 || !s.fleet.budget.allowsOrder() || s.labelInTransit(need) {
			continue
		}
		if instance := s.takeDonor(pools, pools[n], need.label); instance != "" {
			s.prepareInstanceOrder(&instanceOrder{instance: instance, pool: need.pool})
			pools[n].supply++
			s.fleet.budget.takeOrder()
		}
	}
}

// labelInTransit reports whether an instance with the label is on its way to the pool.
func (s *Scheduler) labelInTransit(need labelNeed) bool {
	for name, o := range s.fleet.orders {
		if o.wave == 0 && o.pool == need.pool && slices.Contains(s.fleet.instances[name].Labels, need.label) {
			return true
		}
	}
	return false
}

// countLabelShortages fills in by how much the waiting tasks of each pool that require a label exceed what is free there.
func (s *Scheduler) countLabelShortages(pools map[string]*poolDemand, instanceCPU int) {
	found := false
	for _, j := range s.active {
		q, ok := s.queueOf(j)
		if !ok || !j.rows.jobStored || pools[q.Pool] == nil {
			continue
		}
		p := pools[q.Pool]
		for _, st := range j.waitingSteps {
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
