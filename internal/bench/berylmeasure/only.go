package berylmeasure

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Only restricts a plan to some deployments, policies and runs; empty lists mean all. A score then sums up only the
// runs that are made.
type Only struct {
	Deployment []string `help:"Measure only these deployments."`
	Policy     []string `help:"Measure only these policies."`
	Run        []string `help:"Make only these runs; the scores then sum up these alone."`
}

// With returns the plan restricted to what is named, or an error for a name that the plan does not have.
func (p Plan) With(o Only) (Plan, error) {
	var deployments, runs, policies []string
	var kept []Selection
	for _, s := range p.Deployments {
		deployments = append(deployments, s.Deployment.Name)
		for _, r := range scripts(s.Deployment, s.Pace) {
			runs = append(runs, r.name)
		}
		if selected(o.Deployment, s.Deployment.Name) {
			s.Policies, s.Runs = both(s.Policies, o.Policy), both(s.Runs, o.Run)
			kept = append(kept, s)
		}
	}
	for _, x := range Policies() {
		policies = append(policies, x.Name)
	}
	for _, c := range []struct {
		kind         string
		names, known []string
	}{{"deployment", o.Deployment, deployments}, {"policy", o.Policy, policies}, {"run", o.Run, runs}} {
		for _, name := range c.names {
			if !slices.Contains(c.known, name) {
				return Plan{}, eris.Errorf("unknown %s %q; known are %v", c.kind, name, slices.Compact(slices.Sorted(slices.Values(c.known))))
			}
		}
	}
	p.Deployments = kept
	return p, nil
}

// both returns the names in both lists; an empty list stands for all names, and a list that matches none for itself.
func both(plan, only []string) []string {
	if len(plan) == 0 || len(only) == 0 {
		return append(slices.Clone(plan), only...)
	}
	var out []string
	for _, name := range plan {
		if slices.Contains(only, name) {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return []string{""}
	}
	return out
}
