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

// planned returns the ids of the instances that are out of service by plan, by service and sorted.
func planned(c beryllatch.Config) map[string][]string {
	out := map[string][]string{}
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		if i := c.Instances[id]; i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			s := c.Pools[i.Pool].Service
			out[s] = append(out[s], id)
		}
	}
	return out
}

// checkBudgets refuses a change after which a service exceeds its budget, if the change takes an instance of it out of
// service. That holds even for an instance that is down or not yet heard of: its drain outlasts the failure, and a
// node that has just started knows no instance to be live.
func checkBudgets(before, after beryllatch.Config, h Health) error {
	was, is := Unavailable(before, h), Unavailable(after, h)
	plannedBefore, plannedAfter := planned(before), planned(after)
	for _, name := range beryllatch.SortedKeys(is) {
		rise := len(is[name]) > len(was[name]) || len(plannedAfter[name]) > len(plannedBefore[name])
		most := after.Services[name].MaxUnavailable
		if rise && len(is[name]) > most {
			return &BudgetError{Service: name, Max: most, Unavailable: is[name]}
		}
	}
	return nil
}
