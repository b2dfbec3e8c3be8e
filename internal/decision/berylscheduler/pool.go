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
	// loadTarget is the share of a pool's capacity that its tasks should use; the rest is lost in gaps too small for another
	// task.
	loadTarget = 0.85
	// peakHold is how long a pool keeps the instances of its last peak.
	peakHold = 1200 * time.Millisecond
	// poolReserve is the least number of instances of a pool, kept for the start of a burst.
	poolReserve = 3
	// burstSize is by how many instances a pool's need must exceed the reserve to count as a burst. Pools without a burst so
	// far keep the instances that operators gave them.
	burstSize = 3
)

// poolDemand is what a pool needs and has.
type poolDemand struct {
	name    string
	standby bool
	// target is the number of instances that the pool should have. minimum is the same without those of the last peak: a pool
	// with less than its target may have the idle instances above it.
	target, minimum int
	// supply counts the instances that serve the pool or are being moved to it.
	supply int
	// hadBurst is true once the pool has needed far more than its reserve.
	hadBurst bool
	// usedCPU is in use, neededCPU adds what waiting tasks need, arrivingCPU keeps up with arriving work; all in millicores.
	usedCPU, neededCPU, arrivingCPU int
	// firstCPU is the part of the need that counts first when instances are short: running and waiting work that can meet its target,
	// of teams within their share, and such arriving work.
	firstCPU int
	// labelShortage is, for each label that waiting tasks require, by how much they exceed the free capacity with that label, in
	// millicores. instanceCPU is the mean capacity of an instance.
	labelShortage map[string]int
	instanceCPU   int
	// idleInstances holds the instances without runs, busyInstances those with short runs only.
	idleInstances, busyInstances []string
}

// poolPeak is the highest target of a pool within peakHold.
type poolPeak struct {
	target int
	at     time.Time
	// hadBurst is true once the pool has needed far more than its reserve.
	hadBurst bool
}

// rebalance moves instances to pools that have fewer than their target. Queues often burst in turn: one needs more instances
// than its pool has while those of other pools are idle. Instances that no pool needs go to a standby pool.
func (s *Scheduler) rebalance() {
	// Before all runs are known, pools seem to need less than they do. A new worker gets no runs before its row is stored, so instances are
	// not moved while the store is unavailable.
	if s.deployment == nil || s.awaitsEarlierRuns() || s.journal.unavailable(s.now) {
		return
	}
	pools := s.poolDemands()
	s.logPoolLoad(pools)
	budget := &s.fleet.budget
	budget.refill(s.now, s.Limits.InstanceOrders)
	for _, p := range pools {
		s.fillPool(pools, p)
	}
	s.movePlaces(pools)
	s.moveIdleToStandby(pools)
	s.advanceInstanceOrders()
}

// fillPool moves instances to a pool until it has its target. Those with a label that waiting tasks require come first; tasks that
// no instance can help don't count.
func (s *Scheduler) fillPool(pools []*poolDemand, p *poolDemand) {
	missing := p.target - p.supply
	for missing > 0 && s.fleet.budget.allowsOrder() {
		label := p.scarcestLabel()
		instance := s.takeDonor(pools, p, donorFilter{label: label})
		switch {
		case instance == "" && label == "":
			return
		case instance == "":
			missing -= p.labelShortage[label]/max(p.instanceCPU, 1) + 1
			delete(p.labelShortage, label)
			continue
		}
		s.orderMove(instance, p)
		p.addLabelled(s.fleet.instances[instance])
		missing--
	}
}

// orderMove orders the move of an instance to a pool.
func (s *Scheduler) orderMove(instance string, to *poolDemand) {
	s.prepareInstanceOrder(&instanceOrder{instance: instance, pool: to.name})
	to.supply++
	s.fleet.budget.takeOrder()
}

// poolDemands returns the demand of all pools, those that lack the most instances first.
func (s *Scheduler) poolDemands() []*poolDemand {
	byName := make(map[string]*poolDemand, len(s.deployment.Pools))
	for _, name := range slices.Sorted(maps.Keys(s.deployment.Pools)) {
		byName[name] = &poolDemand{name: name, standby: s.deployment.Pools[name].Standby}
	}
	capacity := s.countInstances(byName)
	needs := s.neededCPU()
	longTerm, shortTerm := s.arrivingCPU()
	forecast := s.forecastCPU()
	out := make([]*poolDemand, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		p := byName[name]
		p.neededCPU, p.arrivingCPU = needs[name], max(longTerm[name], shortTerm[name], forecast[name])
		out = append(out, p)
	}
	s.countFirstNeeds(byName)
	s.countLabelShortages(byName, capacity)
	if capacity > 0 {
		s.setTargets(out, longTerm, loadTarget*float64(capacity))
		s.updateReachableRates(out, float64(capacity))
	}
	slices.SortStableFunc(out, func(a, b *poolDemand) int { return cmp.Compare(b.target-b.supply, a.target-a.supply) })
	return out
}

// fleetPeakHold is how long the last peak of the fleet's need counts when spare instances are counted, since pools burst in
// turn.
const fleetPeakHold = 8 * time.Second

// fleetPeak is the number of instances that all pools together needed at one time.
type fleetPeak struct {
	instances int
	at        time.Time
}

// spareInstances returns how many instances the pools can do without, even if the fleet's recent peak comes back.
func (s *Scheduler) spareInstances() int {
	if s.deployment == nil {
		return 0
	}
	present, target := 0, 0
	for _, p := range s.poolDemands() {
		target += p.target
		present += p.supply
		if p.standby {
			present += len(p.idleInstances)
		}
	}
	f := &s.fleet
	if target >= f.recentPeak.instances || s.now.Sub(f.recentPeak.at) > fleetPeakHold {
		f.recentPeak = fleetPeak{target, s.now}
	}
	return present - f.recentPeak.instances
}

// usableShare is the share of all instances that targets may use up for work that has only just arrived; the rest is left for
// the next burst.
const usableShare = 0.85

// setTargets sets the target of each pool. Targets cover tasks that wait or run, and work that has arrived over the long
// window. What is left of the instances is divided among the bursts that only the short window shows, so that a few large jobs
// in one pool don't take what another pool needs while instances are short. The parameter instanceCPU is the usable capacity of
// an instance in millicores.
func (s *Scheduler) setTargets(pools []*poolDemand, longTerm map[string]int, instanceCPU float64) {
	count := func(cpu int) int { return int(float64(cpu)/instanceCPU + 1) }
	present, baseline, withBursts := 0, 0, 0
	for _, p := range pools {
		present += p.supply
		if p.standby {
			present += len(p.idleInstances)
			continue
		}
		baseline += count(max(p.neededCPU, longTerm[p.name]))
		withBursts += count(max(p.neededCPU, p.arrivingCPU))
	}
	if s.shared && baseline > present {
		s.setScarceTargets(pools, present, count)
		return
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
		p.minimum = max(p.target, poolReserve)
		p.target = max(s.recentPeakTarget(p.name, p.target), poolReserve)
		p.hadBurst = s.fleet.peaks[p.name].hadBurst
	}
}

// logPoolLoad logs the demand of each pool once a second.
func (s *Scheduler) logPoolLoad(pools []*poolDemand) {
	if s.now.Sub(s.fleet.loadLoggedAt) < time.Second {
		return
	}
	s.fleet.loadLoggedAt = s.now
	for _, p := range pools {
		s.emit(Decision{Name: "pool_load", Detail: fmt.Sprintf(
			"pool %s: %d instances wanted, %d there or coming, %d idle, %d busy; cores used %d, needed %d, arriving %d",
			p.name, p.target, p.supply, len(p.idleInstances), len(p.busyInstances), p.usedCPU/1000, p.neededCPU/1000, p.arrivingCPU/1000,
		)})
	}
}

// recentPeakTarget returns the highest target of the pool within peakHold.
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

// countInstances fills in what each pool has, and returns the mean processor capacity of an instance in millicores.
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
			p.idleInstances = append(p.idleInstances, name)
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
			p.idleInstances = append(p.idleInstances, name)
		case !w.runsLongRunning():
			p.busyInstances = append(p.busyInstances, name)
		}
	}
	if n == 0 {
		return 0
	}
	return total / n
}

// neededCPU returns the processor capacity that the running and waiting tasks of each pool need, in millicores. Waiting tasks
// beyond their team's ceiling don't count: they could not start on another instance either.
func (s *Scheduler) neededCPU() map[string]int {
	needs := make(map[string]int)
	for _, w := range s.sortedWorkers {
		if w.registered {
			needs[w.info.Pool] += w.used.CPUMilli
		}
	}
	// waiting is what waiting tasks of each team need.
	waiting := make(map[string]int)
	for _, j := range s.active {
		if !j.rows.jobStored {
			continue
		}
		ceiling, sum := s.ceiling(j.Team).CPUMilli, 0
		for st := range j.waitingSteps {
			sum += st.spec.ReservedCapacity().CPUMilli * st.tasksWaiting
		}
		if ceiling > 0 {
			sum = min(sum, max(ceiling-s.team(j.Team).used.CPUMilli-waiting[j.Team], 0))
			waiting[j.Team] += sum
		}
		needs[j.queue.Pool] += sum
	}
	return needs
}

// donorFilter allows instances with a label, unless it is empty, and with a capacity of at least room.
type donorFilter struct {
	label string
	room  beryllatch.Resources
}

func (f donorFilter) allows(i beryllatch.FleetInstance) bool {
	return (f.label == "" || slices.Contains(i.Labels, f.label)) && f.room.Fits(i.Capacity)
}

// takeDonor removes the instance that is easiest to spare from its pool's demand and returns it: one on standby, else an idle
// one, else one with short tasks only, else an idle one that its pool keeps only for the case that its last peak comes back, else
// one that its pool cannot use. Instances that a wave still has to maintain come last in each of these groups, since they would
// soon leave again. Only instances that the filter allows are considered.
func (s *Scheduler) takeDonor(pools []*poolDemand, to *poolDemand, filter donorFilter) string {
	anyInstance := func(string) bool { return true }
	take := func(list *[]string, from *poolDemand, suits func(string) bool) string {
		best := -1
		for n, name := range *list {
			i := s.fleet.instances[name]
			if s.fleet.orders[name] != nil || s.keptForWave(name) || s.fleet.invalidMoves[moveKind(i, to.name)] || !filter.allows(i) || !suits(name) {
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
			if i := take(&from.idleInstances, from, anyInstance); i != "" {
				return i
			}
		}
	}
	for _, list := range []func(*poolDemand) *[]string{
		func(p *poolDemand) *[]string { return &p.idleInstances }, func(p *poolDemand) *[]string { return &p.busyInstances },
	} {
		// The pool with the largest surplus is the last one.
		for n := len(pools) - 1; n >= 0; n-- {
			from := pools[n]
			if from.standby || from == to || from.supply <= from.target {
				continue
			}
			if i := take(list(from), from, anyInstance); i != "" {
				return i
			}
		}
	}
	for n := len(pools) - 1; n >= 0; n-- {
		from := pools[n]
		if from.standby || from == to || from.supply <= from.minimum {
			continue
		}
		if i := take(&from.idleInstances, from, anyInstance); i != "" {
			return i
		}
	}
	// An instance that stays idle although its pool lacks capacity does not suit the tasks that wait there.
	for _, from := range pools {
		if from.standby || from == to || from.supply <= poolReserve {
			continue
		}
		if i := take(&from.idleInstances, from, func(i string) bool { return s.idleFor(i, standbyDelay) }); i != "" {
			return i
		}
	}
	return ""
}

// idleFor reports whether the instance's worker has had no run for the given time.
func (s *Scheduler) idleFor(instance string, d time.Duration) bool {
	w := s.workerOn(instance)
	return w != nil && len(w.runs) == 0 && s.now.Sub(w.idleSince) >= d
}

// awaitsWave reports whether the instance is still to be maintained by a wave that may take another instance down.
func (s *Scheduler) awaitsWave(instance string) bool {
	for _, w := range s.fleet.waves {
		if !w.done && w.pending[instance] && s.countInstancesDown(w) < w.MaxDown {
			return true
		}
	}
	return false
}

// moveKind returns the key of a kind of move, by the instance's first label and the pool: the platform allows all moves of a
// kind or none.
func moveKind(i beryllatch.FleetInstance, pool string) string {
	return strings.Join(i.Labels[:min(1, len(i.Labels))], "") + ">" + pool
}

// standbyDelay is how long an instance must have been idle before it goes into a standby pool. A burst passes from one queue to
// the next within that time, and an instance on its way to standby reaches the next pool only after a second move.
const standbyDelay = 2 * time.Second

// moveIdleToStandby moves idle instances above their pool's target into a standby pool, from pools that have had a burst.
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
		if p.standby || !p.hadBurst {
			continue
		}
		for _, i := range slices.Backward(p.idleInstances) {
			if p.supply <= p.target || !s.fleet.budget.allowsOrder() {
				break
			}
			if !s.idleFor(i, standbyDelay) || s.awaitsWave(i) || s.keptForWave(i) || s.fleet.invalidMoves[moveKind(s.fleet.instances[i], standby)] {
				continue
			}
			s.prepareInstanceOrder(&instanceOrder{instance: i, pool: standby})
			p.supply--
			s.fleet.budget.takeOrder()
		}
	}
}

// recordMove updates the instance's pool until the next list of instances arrives.
func (s *Scheduler) recordMove(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	i := s.fleet.instances[o.instance]
	i.Pool = o.pool
	s.fleet.instances[o.instance] = i
}

// recordInvalidMove remembers that the platform does not allow moves of this kind.
func (s *Scheduler) recordInvalidMove(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	if s.fleet.invalidMoves == nil {
		s.fleet.invalidMoves = make(map[string]bool)
	}
	s.fleet.invalidMoves[moveKind(s.fleet.instances[o.instance], o.pool)] = true
}
