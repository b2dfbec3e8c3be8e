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

// checkBudgets refuses a change that takes more instances of a service out of service and exceeds its budget.
func checkBudgets(before, after beryllatch.Config, h Health) error {
	was, is := Unavailable(before, h), Unavailable(after, h)
	for _, name := range beryllatch.SortedKeys(is) {
		most := after.Services[name].MaxUnavailable
		if len(is[name]) > len(was[name]) && len(is[name]) > most {
			return &BudgetError{Service: name, Max: most, Unavailable: is[name]}
		}
	}
	return nil
}
