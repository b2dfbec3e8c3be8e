package berylscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// loadTarget is the share of a pool's capacity that its tasks should take: pieces of workers stay unused.
	loadTarget = 0.85
	// peakHold is how long a pool keeps the instances of its last peak.
	peakHold = 1200 * time.Millisecond
	// poolReserve is the least number of instances that a pool keeps, for the start of a burst.
	poolReserve = 3
	// burstSize is how many instances beyond the reserve make a burst: pools that have had none keep what operators gave them.
	burstSize = 3
)

// poolDemand is what a pool needs, and what it has.
type poolDemand struct {
	name    string
	standby bool
	// target is the number of instances that its tasks would fill.
	target int
	// supply counts the instances that serve the pool or are on their way to it.
	supply int
	// hadBurst is true once the pool has needed far more than its reserve.
	hadBurst bool
	// used, need and arriving are in thousandths of a core.
	usedCPU, neededCPU, arrivingCPU int
	// idle are instances that run nothing, busy ones run short tasks only.
	idle, busy []string
}

// poolPeak is the most that a pool has needed lately.
type poolPeak struct {
	target int
	at     time.Time
	// hadBurst is true once the pool has needed far more than its reserve.
	hadBurst bool
}

// rebalance moves instances to pools whose tasks wait. It is for queues that burst by turns: each asks in its time for more
// than its own pool holds, while the instances of the others are idle. Instances that no pool needs go to a standby pool.
func (s *Scheduler) rebalance() {
	// A new worker is used once its row is stored, so moves wait while the store fails.
	if s.deployment == nil || s.hasUnsyncedWorkers() || s.journal.unavailable(s.now) {
		return
	}
	pools := s.poolDemands()
	s.logPoolLoad(pools)
	budget := &s.fleet.budget
	budget.refill(s.now, s.Limits.InstanceOrders)
	s.moveLabelledInstances(pools)
	for _, p := range pools {
		for missing := p.target - p.supply; missing > 0 && budget.allowsOrder(); missing-- {
			instance := s.takeDonor(pools, p, "")
			if instance == "" {
				break
			}
			s.prepareInstanceOrder(&instanceOrder{instance: instance, pool: p.name})
			p.supply++
			budget.takeOrder()
		}
	}
	s.moveIdleToStandby(pools)
	s.advanceInstanceOrders()
}

// poolDemands returns the pools, those that lack most first.
func (s *Scheduler) poolDemands() []*poolDemand {
	byName := make(map[string]*poolDemand, len(s.deployment.Pools))
	for _, name := range slices.Sorted(maps.Keys(s.deployment.Pools)) {
		byName[name] = &poolDemand{name: name, standby: s.deployment.Pools[name].Standby}
	}
	capacity := s.countInstances(byName)
	needs := s.neededCPU()
	longTerm, shortTerm := s.arrivingCPU()
	out := make([]*poolDemand, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		p := byName[name]
		p.neededCPU, p.arrivingCPU = needs[name], max(longTerm[name], shortTerm[name])
		out = append(out, p)
	}
	if capacity > 0 {
		s.setTargets(out, longTerm, loadTarget*float64(capacity))
	}
	slices.SortStableFunc(out, func(a, b *poolDemand) int { return cmp.Compare(b.target-b.supply, a.target-a.supply) })
	return out
}

// fleetPeakHold is how long the fleet is kept ready for the load of its last peak: pools burst by turns.
const fleetPeakHold = 8 * time.Second

// fleetPeak is a number of wanted instances, and when it was wanted.
type fleetPeak struct {
	instances int
	at        time.Time
}

// spareInstances returns how many instances the pools can do without, by what they have wanted lately.
func (s *Scheduler) spareInstances() int {
	if s.deployment == nil {
		return 0
	}
	present, target := 0, 0
	for _, p := range s.poolDemands() {
		target += p.target
		present += p.supply
		if p.standby {
			present += len(p.idle)
		}
	}
	f := &s.fleet
	if target >= f.recentPeak.instances || s.now.Sub(f.recentPeak.at) > fleetPeakHold {
		f.recentPeak = fleetPeak{target, s.now}
	}
	return present - f.recentPeak.instances
}

// usableShare is the part of all instances that is given out by what may arrive; the rest is left for the next burst.
const usableShare = 0.85

// setTargets sets what the pools want. What they need, and what has arrived for some time, comes first: while instances are
// short, a few large jobs in one pool must not take what another one needs next.
func (s *Scheduler) setTargets(pools []*poolDemand, longTerm map[string]int, instanceCPU float64) {
	count := func(cpu int) int { return int(float64(cpu)/instanceCPU + 1) }
	present, baseline, withBursts := 0, 0, 0
	for _, p := range pools {
		present += p.supply
		if p.standby {
			present += len(p.idle)
			continue
		}
		baseline += count(max(p.neededCPU, longTerm[p.name]))
		withBursts += count(max(p.neededCPU, p.arrivingCPU))
	}
	share := 1.0
	if withBursts > baseline {
		share = min(max(usableShare*float64(present)-float64(baseline), 0)/float64(withBursts-baseline), 1)
	}
	for _, p := range pools {
		if p.standby {
			continue
		}
		minimum := count(max(p.neededCPU, longTerm[p.name]))
		p.target = minimum + int(share*float64(count(max(p.neededCPU, p.arrivingCPU))-minimum))
		p.target = max(s.recentPeakTarget(p.name, p.target), poolReserve)
		p.hadBurst = s.fleet.peaks[p.name].hadBurst
	}
}

// logPoolLoad logs what the pools need and have, once a second.
func (s *Scheduler) logPoolLoad(pools []*poolDemand) {
	if s.now.Sub(s.fleet.loadLoggedAt) < time.Second {
		return
	}
	s.fleet.loadLoggedAt = s.now
	for _, p := range pools {
		s.emit(Decision{Name: "pool_load", Detail: fmt.Sprintf(
			"pool %s: %d instances wanted, %d there or coming, %d idle, %d busy; cores used %d, needed %d, arriving %d",
			p.name, p.target, p.supply, len(p.idle), len(p.busy), p.usedCPU/1000, p.neededCPU/1000, p.arrivingCPU/1000,
		)})
	}
}

// recentPeakTarget returns the most that a pool has wanted within the hold time.
func (s *Scheduler) recentPeakTarget(pool string, target int) int {
	if s.fleet.peaks == nil {
		s.fleet.peaks = make(map[string]poolPeak)
	}
	p := s.fleet.peaks[pool]
	if target >= p.target || s.now.Sub(p.at) > peakHold {
		p = poolPeak{target, s.now, p.hadBurst || target >= poolReserve+burstSize}
		s.fleet.peaks[pool] = p
	}
	return p.target
}

// countInstances fills in what each pool has, and returns the mean processor capacity of an instance.
func (s *Scheduler) countInstances(pools map[string]*poolDemand) int {
	total, n := 0, 0
	for _, name := range slices.Sorted(maps.Keys(s.fleet.instances)) {
		i := s.fleet.instances[name]
		total += i.Capacity.CPUMilli
		n++
		if o := s.fleet.orders[name]; o != nil {
			if p := pools[o.pool]; o.wave == 0 && p != nil {
				p.supply++
			}
			continue
		}
		p := pools[i.Pool]
		if p == nil || i.State != beryllatch.FleetInstanceUp || s.operations.Evacuated[i.DataCentre] {
			continue
		}
		if p.standby {
			p.idle = append(p.idle, name)
			continue
		}
		w := s.workerOn(name)
		if w == nil || !w.registered || w.info.Pool != i.Pool || w.info.Draining || w.failedHolds > 0 || w.health.isSuspect(s.now) {
			continue
		}
		p.supply++
		p.usedCPU += w.used.CPUMilli
		switch {
		case len(w.runs) == 0:
			p.idle = append(p.idle, name)
		case !w.runsLongRunning():
			p.busy = append(p.busy, name)
		}
	}
	if n == 0 {
		return 0
	}
	return total / n
}

// neededCPU sums what the tasks of each pool take or wait for, in thousandths of a core. Tasks that their team's ceiling
// keeps waiting need no instance.
func (s *Scheduler) neededCPU() map[string]int {
	needs := make(map[string]int)
	for _, w := range s.sortedWorkers {
		if w.registered {
			needs[w.info.Pool] += w.used.CPUMilli
		}
	}
	room := make(map[string]int)
	for name, t := range s.deployment.Teams {
		room[name] = t.Ceiling.CPUMilli - s.team(name).used.CPUMilli
	}
	for _, j := range s.active {
		q, ok := s.queueOf(j)
		if !ok || !j.rows.jobStored {
			continue
		}
		for _, st := range j.waitingSteps {
			cpu := st.spec.Booked().CPUMilli * st.tasksWaiting
			if t, ok := s.deployment.Teams[j.Team]; ok && t.Ceiling.CPUMilli > 0 {
				cpu = min(cpu, max(room[j.Team], 0))
				room[j.Team] -= cpu
			}
			needs[q.Pool] += cpu
		}
	}
	return needs
}

// takeDonor returns an instance that another pool can spare best: one on standby, an idle one, one with short tasks.
// Instances that a wave still waits for come after others of the same list, since they leave once more soon. With a label,
// only instances that carry it count.
func (s *Scheduler) takeDonor(pools []*poolDemand, to *poolDemand, label string) string {
	take := func(list *[]string, from *poolDemand) string {
		best := -1
		for n, name := range *list {
			i := s.fleet.instances[name]
			if s.fleet.orders[name] != nil || s.fleet.invalidMoves[moveKind(i, to.name)] || label != "" && !slices.Contains(i.Labels, label) {
				continue
			}
			if best = n; !s.awaitsWave(name) {
				break
			}
		}
		if best < 0 {
			return ""
		}
		name := (*list)[best]
		*list = slices.Delete(*list, best, best+1)
		from.supply--
		return name
	}
	for _, from := range pools {
		if from.standby && from != to {
			if i := take(&from.idle, from); i != "" {
				return i
			}
		}
	}
	for _, list := range []func(*poolDemand) *[]string{
		func(p *poolDemand) *[]string { return &p.idle }, func(p *poolDemand) *[]string { return &p.busy },
	} {
		// The pool with the largest surplus is the last one.
		for n := len(pools) - 1; n >= 0; n-- {
			from := pools[n]
			if from.standby || from == to || from.supply <= from.target {
				continue
			}
			if i := take(list(from), from); i != "" {
				return i
			}
		}
	}
	return ""
}

// awaitsWave reports whether an open wave still waits for the instance.
func (s *Scheduler) awaitsWave(instance string) bool {
	for _, w := range s.fleet.waves {
		if !w.done && w.pending[instance] && s.countDown(w) < w.MaxDown {
			return true
		}
	}
	return false
}

// moveKind names the moves that the platform allows or not alike: instances of a kind into a pool.
func moveKind(i beryllatch.FleetInstance, pool string) string {
	return strings.Join(i.Labels[:min(1, len(i.Labels))], "") + ">" + pool
}

// moveIdleToStandby puts instances on standby that no pool needs.
func (s *Scheduler) moveIdleToStandby(pools []*poolDemand) {
	standby := ""
	for _, p := range pools {
		if p.standby {
			standby = p.name
		}
	}
	if standby == "" {
		return
	}
	for _, p := range pools {
		for !p.standby && p.hadBurst && p.supply > p.target && len(p.idle) > 0 && s.fleet.budget.allowsOrder() {
			i := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			if s.awaitsWave(i) || s.fleet.invalidMoves[moveKind(s.fleet.instances[i], standby)] {
				continue
			}
			s.prepareInstanceOrder(&instanceOrder{instance: i, pool: standby})
			p.supply--
			s.fleet.budget.takeOrder()
		}
	}
}

// recordMove enters a move into the list of instances until the next one is read.
func (s *Scheduler) recordMove(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	i := s.fleet.instances[o.instance]
	i.Pool = o.pool
	s.fleet.instances[o.instance] = i
}

// recordInvalidMove remembers moves that the platform does not allow.
func (s *Scheduler) recordInvalidMove(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	if s.fleet.invalidMoves == nil {
		s.fleet.invalidMoves = make(map[string]bool)
	}
	s.fleet.invalidMoves[moveKind(s.fleet.instances[o.instance], o.pool)] = true
}
