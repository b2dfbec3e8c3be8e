package berylscheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// labelNeed asks for an instance with a label in a pool.
type labelNeed struct{ pool, label string }

// labelNeedTime is how long a need for a label holds after it was last noted.
const labelNeedTime = time.Second

// recordLabelNeed notes that no worker of a pool can take a task that requires a label.
func (s *Scheduler) recordLabelNeed(t *task) {
	q, ok := s.queueOf(t.step.job)
	if label := t.step.spec.RequiredLabel; ok && label != "" {
		if s.fleet.labelNeeds == nil {
			s.fleet.labelNeeds = make(map[labelNeed]time.Time)
		}
		s.fleet.labelNeeds[labelNeed{q.Pool, label}] = s.now
	}
}

// moveLabelledInstances moves instances into pools that lack the label that a waiting task requires: the number of instances alone does
// not tell that.
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
