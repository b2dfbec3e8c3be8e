package berylmeasure

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Filter selects deployments, policies and runs by name; an empty list selects all. The scores are then computed from
// the selected runs only.
type Filter struct {
	Deployment []string `help:"Measure only these deployments."`
	Policy     []string `help:"Measure only these policies."`
	Run        []string `help:"Make only these runs; the scores then include no others."`
}

// Restrict returns the plan with what the filter selects, or an error for a name that the plan does not have.
func (p Plan) Restrict(f Filter) (Plan, error) {
	var deployments, runs, policies []string
	var selections []Selection
	for _, s := range p.Deployments {
		deployments = append(deployments, s.Deployment.Name)
		for _, r := range scripts(s.Deployment, s.Pace) {
			runs = append(runs, r.name)
		}
		if includes(f.Deployment, s.Deployment.Name) {
			s.Policies, s.Runs = intersectNames(s.Policies, f.Policy), intersectNames(s.Runs, f.Run)
			selections = append(selections, s)
		}
	}
	for _, x := range Policies() {
		policies = append(policies, x.Name)
	}
	for _, c := range []struct {
		kind         string
		names, valid []string
	}{{"deployment", f.Deployment, deployments}, {"policy", f.Policy, policies}, {"run", f.Run, runs}} {
		for _, name := range c.names {
			if !slices.Contains(c.valid, name) {
				return Plan{}, eris.Errorf("unknown %s %q; known are %v", c.kind, name, slices.Compact(slices.Sorted(slices.Values(c.valid))))
			}
		}
	}
	p.Deployments = selections
	return p, nil
}

// intersectNames returns the names in both lists, where an empty list means all names. If the lists have no name in
// common, it returns an empty name, which selects nothing.
func intersectNames(plan, filter []string) []string {
	if len(plan) == 0 || len(filter) == 0 {
		return append(slices.Clone(plan), filter...)
	}
	var out []string
	for _, name := range plan {
		if slices.Contains(filter, name) {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return []string{""}
	}
	return out
}
