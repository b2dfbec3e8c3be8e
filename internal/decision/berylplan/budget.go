package berylplan

import "github.com/beryllatch/beryllatch"

// Unavailable returns the ids of the instances that are out of service, planned or not, by service and sorted.
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
	// planned leaves out those that are only down or in a data centre that is out.
	planned int
}

// unavailableCounts returns the counts by service.
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

// checkBudgets refuses a change after which a service exceeds its budget, if the change takes an instance of it out of
// service. That holds even for an instance that is down or not yet heard of: its drain outlasts the failure, and a
// node that has just started knows no instance to be live.
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
