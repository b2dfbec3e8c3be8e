package berylmeasure

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Plan says which runs to make.
type Plan struct {
	Seed uint64
	// Parallel is the number of runs at once; it does not change the results.
	Parallel    int
	Deployments []Selection
}

// Selection names the policies and runs of one deployment; empty lists mean all.
type Selection struct {
	Deployment Deployment
	Pace       Pace
	Policies   []string
	Runs       []string
}

// Report holds the results in the order of the plan.
type Report struct {
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
	Scores  []Score  `json:"scores"`
}

// plannedRun is one run of a plan: a deployment under one policy and one script.
type plannedRun struct {
	deployment Deployment
	policy     Policy
	script     script
}

// Measure makes the runs of the plan and computes the scores.
func Measure(ctx context.Context, p Plan) (Report, error) {
	runs := p.runs()
	results := make([]Result, len(runs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, p.Parallel))
	for n, run := range runs {
		if run.sameAsChosen() {
			continue
		}
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			r, err := run.measure(p.Seed)
			results[n] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return Report{}, eris.Wrap(err, "measure")
	}
	copyChosenResults(runs, results)
	return Report{Seed: p.Seed, Results: results, Scores: p.scores(results)}, nil
}

// sameAsChosen reports whether the run has the same result as with the chosen policy, and so need not be made:
// one_at_a_time differs only in maintenance.
func (p plannedRun) sameAsChosen() bool { return p.policy.oneAtATime && !p.script.maintenance }

// copyChosenResults copies the results of the chosen policy to the runs that have the same ones.
func copyChosenResults(runs []plannedRun, results []Result) {
	for n, run := range runs {
		if !run.sameAsChosen() {
			continue
		}
		for _, r := range results {
			if r.Policy == ChosenPolicy && r.Deployment == run.deployment.Name && r.Run == run.script.name {
				r.Policy = run.policy.Name
				results[n] = r
			}
		}
	}
}

func (p Plan) runs() []plannedRun {
	var runs []plannedRun
	for _, s := range p.Deployments {
		for _, script := range scripts(s.Deployment, s.Pace) {
			for _, policy := range Policies() {
				if includes(s.Runs, script.name) && includes(s.Policies, policy.Name) {
					runs = append(runs, plannedRun{deployment: s.Deployment, policy: policy, script: script})
				}
			}
		}
	}
	return runs
}

// includes reports whether the list selects the name; an empty list selects all.
func includes(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// measure makes one run, and its reference run if the script has one.
func (p plannedRun) measure(seed uint64) (Result, error) {
	f, err := newFleet(p.deployment, p.policy, p.script, seed)
	if err != nil {
		return Result{}, err
	}
	f.run()
	r := f.result()
	if p.script.reference == nil {
		return r, nil
	}
	reference, err := newFleet(p.deployment, p.policy, *p.script.reference, seed)
	if err != nil {
		return Result{}, err
	}
	reference.run()
	workPercent := percent * float64(f.meter.doneInWindow) / float64(max(1, reference.meter.doneInWindow))
	r.DataCentreWork = &workPercent
	return r, nil
}

func (p Plan) scores(results []Result) []Score {
	var out []Score
	for _, s := range p.Deployments {
		for _, policy := range Policies() {
			var policyResults []Result
			for _, r := range results {
				if r.Deployment == s.Deployment.Name && r.Policy == policy.Name {
					policyResults = append(policyResults, r)
				}
			}
			if len(policyResults) > 0 {
				out = append(out, newScore(s.Deployment, policy.Name, policyResults))
			}
		}
	}
	return out
}
