package berylscheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
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
