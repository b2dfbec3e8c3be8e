package berylmeasure

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment { return []Deployment{rimwise(), papelera(), designSize()} }

func rimwise() Deployment {
	d := exampleDeployment("rimwise", "Rimwise Cycles")
	d.DataCentres = dataCentres("nairobi", "mombasa", "kampala", "kigali")
	d.DataCentreLoad = 1.8
	d.Weights = Weights{BufferCost: 1, RollOut: 1, Moves: 1, Share: 2, DataCentre: 2, Missed: 1, Urgent: 1}
	d.Work = []Work{
		{Name: "lacing", Workers: 10, RunTime: 400 * time.Millisecond, Deadline: 3 * time.Second},
		{Name: "spoke-cut", Workers: 10, RunTime: 1200 * time.Millisecond, Deadline: 8 * time.Second},
		{Name: "reconcile", Workers: 9, RunTime: 3 * time.Second},
		{Name: "quote", Workers: 9, RunTime: 250 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "wheel-test", Workers: 8, RunTime: 800 * time.Millisecond, Deadline: 5 * time.Second},
	}
	return d
}

func papelera() Deployment {
	d := exampleDeployment("papelera", "Papelera Andina")
	d.DataCentres = dataCentres("lima-1", "lima-2", "callao")
	d.DataCentreLoad = 1.6
	d.Weights = Weights{BufferCost: 2, RollOut: 2, Moves: 1, Share: 1, DataCentre: 1, Missed: 1, Urgent: 1}
	d.Work = []Work{
		{Name: "price-check", Workers: 10, RunTime: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		{Name: "order", Workers: 10, RunTime: 500 * time.Millisecond, Deadline: 4 * time.Second},
		{Name: "invoice", Workers: 9, RunTime: 1 * time.Second},
		{Name: "page", Workers: 9, RunTime: 400 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "backup", Workers: 8, RunTime: 4 * time.Second},
	}
	return d
}

// exampleDeployment returns what the deployments of the two example users have in common.
func exampleDeployment(name, title string) Deployment {
	return Deployment{
		Name: name, Title: title, Nodes: 8, Spares: 4, Slots: 8, Connections: 64, WorkersPerRack: 4,
		OutAtOncePercent: 10,
		Teams: []TeamLoad{
			{Name: "large-a", Size: berylplan.SizeLarge, LoadWeight: 0.3},
			{Name: "large-b", Size: berylplan.SizeLarge, LoadWeight: 0.3},
			{Name: "small-c", Size: berylplan.SizeSmall, LoadWeight: 0.1},
			{Name: "small-d", Size: berylplan.SizeSmall, LoadWeight: 0.1},
			{Name: "small-e", Size: berylplan.SizeSmall, LoadWeight: 0.1},
			{Name: "small-f", Size: berylplan.SizeSmall, LoadWeight: 0.1},
		},
	}
}

// designSize returns a deployment of the size that the product is designed for: 630 workers, 23 pools (one of them the
// spare pool) and 26 teams.
func designSize() Deployment {
	const (
		workPools = 22
		teams     = 26
		large     = 5
	)
	d := Deployment{
		Name: "design", Title: "Design size", Nodes: 36, Spares: 25, Slots: 8, Connections: 64, WorkersPerRack: 8,
		OutAtOncePercent: 10, DataCentreLoad: 1.8,
		Weights: Weights{BufferCost: 1, RollOut: 1, Moves: 1, Share: 1, DataCentre: 1, Missed: 1, Urgent: 1},
	}
	for n := range 6 {
		d.DataCentres = append(d.DataCentres, berylplan.DataCentreAnswer{
			Name: fmt.Sprintf("dc%d", n), Region: fmt.Sprintf("region%d", n/3),
		})
	}
	for n := range workPools {
		w := Work{Name: fmt.Sprintf("work%02d", n), Workers: 27, RunTime: 2 * time.Second, Deadline: 10 * time.Second}
		if n < 11 {
			w.Workers++
		}
		d.Work = append(d.Work, w)
	}
	for n := range teams {
		t := TeamLoad{Name: fmt.Sprintf("team%02d", n), Size: berylplan.SizeSmall, LoadWeight: 1}
		if n < large {
			t.Size, t.LoadWeight = berylplan.SizeLarge, 4
		}
		d.Teams = append(d.Teams, t)
	}
	return d
}

func dataCentres(names ...string) []berylplan.DataCentreAnswer {
	var out []berylplan.DataCentreAnswer
	for _, name := range names {
		out = append(out, berylplan.DataCentreAnswer{Name: name, Region: "home"})
	}
	return out
}

// FullPlan returns the plan of `make measure`. The design size has fewer policies, fewer runs and shorter events than
// the other deployments, since its runs take the most processor time.
func FullPlan(seed uint64, parallel int) Plan {
	short := FullPace()
	short.Event /= 3
	return Plan{Seed: seed, Parallel: parallel, Deployments: []Selection{
		{Deployment: rimwise(), Pace: FullPace()},
		{Deployment: papelera(), Pace: FullPace()},
		{
			Deployment: designSize(), Pace: short, Policies: []string{ChosenPolicy, "random_routing"},
			Runs: []string{runDataCentre, "failing", runFull},
		},
	}}
}
