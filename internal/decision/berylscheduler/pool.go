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
	// wanted is the number of instances that its tasks would fill.
	wanted int
	// supply counts the instances that serve the pool or are on their way to it.
	supply int
	// bursts is true once the pool has needed far more than its reserve.
	bursts bool
	// used, need and arriving are in thousandths of a core.
	used, need, arriving int
	// idle are instances that run nothing, busy ones run short tasks only.
	idle, busy []string
}

// poolPeak is the most that a pool has needed lately.
type poolPeak struct {
	wanted int
	at     time.Time
	// bursts is true once the pool has needed far more than its reserve.
	bursts bool
}

// rebalance moves instances to pools whose tasks wait. It is for queues that burst by turns: each asks in its time for more
// than its own pool holds, while the instances of the others are idle. Instances that no pool needs go to a standby pool.
func (s *Scheduler) rebalance() {
	// A new worker is used once its row is stored, so moves wait while the store fails.
	if s.deployment == nil || s.unsettledWorkers() || s.journal.away(s.now) {
		return
	}
	pools := s.demands()
	s.reportLoad(pools)
	budget := &s.fleet.budget
	budget.refill(s.now, s.Limits.InstanceOrders)
	s.bringLabels(pools)
	for _, p := range pools {
		for missing := p.wanted - p.supply; missing > 0 && budget.left(); missing-- {
			instance := s.donor(pools, p, "")
			if instance == "" {
				break
			}
			s.prepare(&instanceOrder{instance: instance, pool: p.name})
			p.supply++
			budget.take()
		}
	}
	s.parkIdle(pools)
	s.advanceOrders()
}

// demands returns the pools, those that lack most first.
func (s *Scheduler) demands() []*poolDemand {
	byName := make(map[string]*poolDemand, len(s.deployment.Pools))
	for _, name := range slices.Sorted(maps.Keys(s.deployment.Pools)) {
		byName[name] = &poolDemand{name: name, standby: s.deployment.Pools[name].Standby}
	}
	capacity := s.countInstances(byName)
	needs := s.neededCPU()
	steady, sudden := s.arrivingCPU()
	out := make([]*poolDemand, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		p := byName[name]
		p.need, p.arriving = needs[name], max(steady[name], sudden[name])
		out = append(out, p)
	}
	if capacity > 0 {
		s.shareOut(out, steady, loadTarget*float64(capacity))
	}
	slices.SortStableFunc(out, func(a, b *poolDemand) int { return cmp.Compare(b.wanted-b.supply, a.wanted-a.supply) })
	return out
}

// loadMemory is how long the fleet is kept ready for the load of its last peak: pools burst by turns.
const loadMemory = 8 * time.Second

// peakLoad is a number of wanted instances, and when it was wanted.
type peakLoad struct {
	instances int
	at        time.Time
}

// spareInstances returns how many instances the pools can do without, by what they have wanted lately.
func (s *Scheduler) spareInstances() int {
	if s.deployment == nil {
		return 0
	}
	present, wanted := 0, 0
	for _, p := range s.demands() {
		wanted += p.wanted
		present += p.supply
		if p.standby {
			present += len(p.idle)
		}
	}
	f := &s.fleet
	if wanted >= f.load.instances || s.now.Sub(f.load.at) > loadMemory {
		f.load = peakLoad{wanted, s.now}
	}
	return present - f.load.instances
}

// usableShare is the part of all instances that is given out by what may arrive; the rest is left for the next burst.
const usableShare = 0.85

// shareOut sets what the pools want. What they need, and what has arrived for some time, comes first: while instances are
// short, a few large jobs in one pool must not take what another one needs next.
func (s *Scheduler) shareOut(pools []*poolDemand, steady map[string]int, instance float64) {
	count := func(cpu int) int { return int(float64(cpu)/instance + 1) }
	present, firm, eager := 0, 0, 0
	for _, p := range pools {
		present += p.supply
		if p.standby {
			present += len(p.idle)
			continue
		}
		firm += count(max(p.need, steady[p.name]))
		eager += count(max(p.need, p.arriving))
	}
	share := 1.0
	if eager > firm {
		share = min(max(usableShare*float64(present)-float64(firm), 0)/float64(eager-firm), 1)
	}
	for _, p := range pools {
		if p.standby {
			continue
		}
		least := count(max(p.need, steady[p.name]))
		p.wanted = least + int(share*float64(count(max(p.need, p.arriving))-least))
		p.wanted = max(s.peak(p.name, p.wanted), poolReserve)
		p.bursts = s.fleet.peaks[p.name].bursts
	}
}

// reportLoad logs what the pools need and have, once a second.
func (s *Scheduler) reportLoad(pools []*poolDemand) {
	if s.now.Sub(s.fleet.reported) < time.Second {
		return
	}
	s.fleet.reported = s.now
	for _, p := range pools {
		s.emit(Decision{Name: "pool_load", Detail: fmt.Sprintf(
			"pool %s: %d instances wanted, %d there or coming, %d idle, %d busy; cores used %d, needed %d, arriving %d",
			p.name, p.wanted, p.supply, len(p.idle), len(p.busy), p.used/1000, p.need/1000, p.arriving/1000,
		)})
	}
}

// peak returns the most that a pool has wanted within the hold time.
func (s *Scheduler) peak(pool string, wanted int) int {
	if s.fleet.peaks == nil {
		s.fleet.peaks = make(map[string]poolPeak)
	}
	p := s.fleet.peaks[pool]
	if wanted >= p.wanted || s.now.Sub(p.at) > peakHold {
		p = poolPeak{wanted, s.now, p.bursts || wanted >= poolReserve+burstSize}
		s.fleet.peaks[pool] = p
	}
	return p.wanted
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
		if w == nil || !w.registered || w.info.Pool != i.Pool || w.info.Draining || w.failures > 0 || w.health.suspect(s.now) {
			continue
		}
		p.supply++
		p.used += w.used.CPUMilli
		switch {
		case len(w.runs) == 0:
			p.idle = append(p.idle, name)
		case !w.serves():
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
	for _, w := range s.ordered {
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
		if !ok || !j.row.known {
			continue
		}
		for _, st := range j.waitingSteps {
			cpu := st.spec.ReservedCapacity().CPUMilli * st.waiting
			if t, ok := s.deployment.Teams[j.Team]; ok && t.Ceiling.CPUMilli > 0 {
				cpu = min(cpu, max(room[j.Team], 0))
				room[j.Team] -= cpu
			}
			needs[q.Pool] += cpu
		}
	}
	return needs
}

// donor returns an instance that another pool can spare best: one on standby, an idle one, one with short tasks.
// Instances that a wave still waits for come after others of the same list, since they leave once more soon. With a label,
// only instances that carry it count.
func (s *Scheduler) donor(pools []*poolDemand, to *poolDemand, label string) string {
	take := func(list *[]string, from *poolDemand) string {
		best := -1
		for n, name := range *list {
			i := s.fleet.instances[name]
			if s.fleet.orders[name] != nil || s.fleet.invalid[moveKind(i, to.name)] || label != "" && !slices.Contains(i.Labels, label) {
				continue
			}
			if best = n; !s.inWave(name) {
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
			if from.standby || from == to || from.supply <= from.wanted {
				continue
			}
			if i := take(list(from), from); i != "" {
				return i
			}
		}
	}
	return ""
}

// inWave reports whether an open wave still waits for the instance.
func (s *Scheduler) inWave(instance string) bool {
	for _, w := range s.fleet.waves {
		if !w.done && w.left[instance] && s.down(w) < w.MaxDown {
			return true
		}
	}
	return false
}

// moveKind names the moves that the platform allows or not alike: instances of a kind into a pool.
func moveKind(i beryllatch.FleetInstance, pool string) string {
	return strings.Join(i.Labels[:min(1, len(i.Labels))], "") + ">" + pool
}

// parkIdle puts instances on standby that no pool needs.
func (s *Scheduler) parkIdle(pools []*poolDemand) {
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
		for !p.standby && p.bursts && p.supply > p.wanted && len(p.idle) > 0 && s.fleet.budget.left() {
			i := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			if s.inWave(i) || s.fleet.invalid[moveKind(s.fleet.instances[i], standby)] {
				continue
			}
			s.prepare(&instanceOrder{instance: i, pool: standby})
			p.supply--
			s.fleet.budget.take()
		}
	}
}

// noteMove enters a move into the list of instances until the next one is read.
func (s *Scheduler) noteMove(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	i := s.fleet.instances[o.instance]
	i.Pool = o.pool
	s.fleet.instances[o.instance] = i
}

// noteInvalid remembers moves that the platform does not allow.
func (s *Scheduler) noteInvalid(o *instanceOrder) {
	if o.wave > 0 {
		return
	}
	if s.fleet.invalid == nil {
		s.fleet.invalid = make(map[string]bool)
	}
	s.fleet.invalid[moveKind(s.fleet.instances[o.instance], o.pool)] = true
}
