package berylscheduler

// countFirstNeeds counts, for each pool, the processor capacity of running and waiting work that counts first when instances are short.
func (s *Scheduler) countFirstNeeds(pools map[string]*poolDemand) {
	if !s.shared {
		return
	}
	for _, w := range s.sortedWorkers {
		p := pools[w.info.Pool]
		if p == nil || !w.registered {
			continue
		}
		p.firstCPU += w.used.CPUMilli - w.yieldingCPU
	}
	arriving := make(map[string]float64)
	for _, a := range s.fleet.arrivals {
		if !a.aboveShare && s.now.Sub(a.at) <= longArrivalWindow {
			arriving[a.pool] += a.work
		}
	}
	for name, p := range pools {
		p.firstCPU = max(p.firstCPU+s.backlogs[name].firstCPU, int(arriving[name]/longArrivalWindow.Seconds()))
	}
}

// setScarceTargets divides the instances when the pools need more than there are. The load that it answers is a queue whose accepted
// backlog takes the fleet while another queue's demand rises: each pool gets what its work in time of teams within their share needs,
// and the rest is divided by what else they need. No target is kept for an earlier peak, since another pool needs the instances now.
func (s *Scheduler) setScarceTargets(pools []*poolDemand, present int, count func(cpu int) int) {
	var serving []*poolDemand
	var first, all []int
	for _, p := range pools {
		if p.standby {
			continue
		}
		serving = append(serving, p)
		total := count(max(p.neededCPU, p.arrivingCPU))
		all = append(all, max(total, poolReserve))
		first = append(first, max(min(count(p.firstCPU), total), poolReserve))
	}
	for i, n := range divideInstances(present, first, all) {
		p := serving[i]
		p.target, p.minimum = n, n
		p.hadBurst = s.fleet.peaks[p.name].hadBurst
		s.recentPeakTarget(p.name, n)
	}
}

// divideInstances divides the present instances: up to poolReserve for each pool, then in proportion to what is missing to the first needs,
// as far as these go, and then to all needs. Without its reserve, a pool with a small need would get nothing beside one that needs many
// times what there is.
func divideInstances(present int, first, all []int) []int {
	out := make([]int, len(first))
	give := func(left int, wants []int) int {
		sum := 0
		missing := make([]int, len(wants))
		for i, n := range wants {
			missing[i] = max(n-out[i], 0)
			sum += missing[i]
		}
		if sum == 0 {
			return left
		}
		given := 0
		for i, n := range missing {
			part := n
			if sum > left {
				part = n * left / sum
			}
			out[i] += part
			given += part
		}
		return left - given
	}
	reserve := make([]int, len(first))
	for i := range first {
		reserve[i] = min(first[i], poolReserve)
	}
	give(give(give(present, reserve), first), all)
	return out
}

// updateReachableRates computes the processor capacity that each pool could have: that of its instances, of those it is to get, and of
// those that no pool needs.
func (s *Scheduler) updateReachableRates(pools []*poolDemand, instanceCPU float64) {
	if !s.shared {
		return
	}
	spare := 0
	for _, p := range pools {
		if p.standby {
			spare += len(p.idleInstances)
		} else {
			spare += p.supply - p.target
		}
	}
	s.reachableRates = make(map[string]float64, len(pools))
	for _, p := range pools {
		if !p.standby {
			s.reachableRates[p.name] = instanceCPU * float64(max(p.supply, p.target)+max(spare, 0))
		}
	}
}
