package berylplan

import "github.com/beryllatch/beryllatch"

// Unavailable returns the sorted ids of the instances that are out of service, by the configuration or by a failure, for
// each service.
func Unavailable(c beryllatch.Config, h Health) map[string][]string {
	out := map[string][]string{}
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		i := c.Instances[id]
		if unavailable(c, h, i) {
			s := c.Pools[i.Pool].Service
			out[s] = append(out[s], id)
		}
	}
	return out
}

func unavailable(c beryllatch.Config, h Health, i beryllatch.Instance) bool {
	return i.State != beryllatch.InstanceActive || i.MoveTo != "" || c.DataCentres[i.DataCentre].Out || !h[i.ID].Live
}

// unavailableCount is the number of instances of a service that are out of service.
type unavailableCount struct {
	total int
	// planned counts only the instances that are drained, rebooted or moved, not those that are merely down or in a data
	// centre that is out.
	planned int
}

// unavailableCounts returns the number of unavailable instances of each service that has some.
func unavailableCounts(c beryllatch.Config, h Health) map[string]unavailableCount {
	out := make(map[string]unavailableCount, len(c.Services))
	for _, i := range c.Instances {
		if !unavailable(c, h, i) {
			continue
		}
		s := c.Pools[i.Pool].Service
		n := out[s]
		n.total++
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			n.planned++
		}
		out[s] = n
	}
	return out
}

// checkBudgets returns a *BudgetError if the change takes instances of a service out of service and the service then
// exceeds its budget. A drain of an instance that is already down, or has not reported yet, counts too: the drain lasts
// longer than the failure, and a node that has just started has no reports, so it treats every instance as down.
func checkBudgets(before, after beryllatch.Config, h Health) error {
	countsBefore, countsAfter := unavailableCounts(before, h), unavailableCounts(after, h)
	for _, name := range beryllatch.SortedKeys(countsAfter) {
		increased := countsAfter[name].total > countsBefore[name].total || countsAfter[name].planned > countsBefore[name].planned
		limit := after.Services[name].MaxUnavailable
		if increased && countsAfter[name].total > limit {
			return &BudgetError{Service: name, Max: limit, Unavailable: Unavailable(after, h)[name]}
		}
	}
	return nil
}
