package berylmeasure

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// Deployment is a fleet, its teams and its work.
type Deployment struct {
	Name        string
	Title       string
	Nodes       int
	DataCentres []berylplan.DataCentreAnswer
	Work        []Work
	Teams       []TeamLoad
	// Spares is the number of spare workers.
	Spares int
	// Slots and Connections are those of each worker.
	Slots       int
	Connections int
	// WorkersPerRack is the number of workers that fail together with one rack.
	WorkersPerRack int
	// OutAtOncePercent is the disruption budget of each service in percent of its workers.
	OutAtOncePercent int
	// DataCentreLoad is the load of the run data_centre, relative to the mean.
	DataCentreLoad float64
	Weights        Weights
}

// Work is one kind of work with a service, a pool and a queue of its own.
type Work struct {
	Name    string
	Workers int
	RunTime time.Duration
	// Deadline is the time within which an answer must arrive; 0 means that the work may wait.
	Deadline time.Duration
}

// TeamLoad is a team and the load that it causes.
type TeamLoad struct {
	Name string
	Size berylplan.SizeAnswer
	// LoadWeight is the team's number of requests, relative to the other teams.
	LoadWeight float64
}

// meanLoad is the fraction of a pool's slots that its mean load keeps busy. A burst of five times the mean then needs
// 1.75 times the slots of the pool.
const meanLoad = 0.35

// rate returns the mean number of requests per second.
func (d Deployment) rate(w Work) float64 {
	return meanLoad * float64(w.Workers*d.Slots) / w.RunTime.Seconds()
}

// declaration holds the errors of the declared values: the factors by which the answers to the questionnaire and the
// slots of the instances differ from the real values.
type declaration struct {
	// runTime and rate multiply the declared values; 0 means 1.
	runTime float64
	rate    float64
	// slots multiplies the declared slots of every third instance and divides those of the instance after it; 0 and 1
	// change nothing.
	slots int
}

// answers returns the questionnaire with the answers for the deployment.
func (d Deployment) answers(decl declaration) berylplan.Answers {
	a := berylplan.Answers{User: d.Name, DataCentres: d.DataCentres, Limits: berylplan.LimitsAnswer{
		SlotsPerWorker: d.Slots, WorkersPerRack: d.WorkersPerRack, SpareWorkers: d.Spares,
		OutAtOncePercent: d.OutAtOncePercent,
	}}
	for _, t := range d.Teams {
		a.Customers = append(a.Customers, berylplan.CustomerAnswer{Name: t.Name, Size: t.Size})
	}
	for _, w := range d.Work {
		a.Work = append(a.Work, d.workAnswer(w, decl))
	}
	return a
}

func (d Deployment) workAnswer(w Work, decl declaration) berylplan.WorkAnswer {
	runTime := float64(w.RunTime.Milliseconds()) * factorOrOne(decl.runTime)
	a := berylplan.WorkAnswer{
		Name: w.Name, Workers: w.Workers, PerMinute: 60 * d.rate(w) * factorOrOne(decl.rate), RunTimeMS: int(runTime),
		Late: berylplan.LateLostSale, AnswerWithinMS: int(w.Deadline.Milliseconds()),
	}
	if w.Deadline == 0 {
		a.Late, a.AnswerWithinMS = berylplan.LateMayWait, 0
		a.LastHandedIn, a.WaitUntil = "04:00", "06:30"
	}
	return a
}

// factorOrOne returns the factor, or 1 if it is not set.
func factorOrOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// config returns the initial configuration: the plan made from the answers, the keys of the teams and the instances.
func (d Deployment) config(decl declaration, p Policy) (beryllatch.Config, error) {
	plan, err := berylplan.PlanAnswers(d.answers(decl))
	if err != nil {
		return beryllatch.Config{}, err
	}
	c, err := plan.Apply(beryllatch.Config{})
	if err != nil {
		return c, err
	}
	var changes []berylplan.Change
	for n, t := range d.Teams {
		changes = append(changes, berylplan.PutAPIKey{Key: beryllatch.APIKey{
			ID: "key-" + t.Name, Team: t.Name, Hash: keyHash(n),
		}})
	}
	for _, i := range d.instances(decl, p.spreadSpares) {
		changes = append(changes, berylplan.PutInstance{Instance: i})
	}
	// Without a spare pool there is nothing to lend from, and eager_moves replaces the nodes' own load moves.
	if p.spreadSpares || p.eagerMoves {
		changes = append(changes, berylplan.SetLoadMoves{On: false})
	}
	c, err = berylplan.Apply(c, nil, changes...)
	return c.WithVersion(1), err
}

// keyHash returns a made-up hash of a team's secret.
func keyHash(team int) string { return fmt.Sprintf("%064x", team+1) }

// sparePool is the name of the spare pool that the planner generates.
const sparePool = "spare"

// instances returns the instances of all pools, distributed over the data centres in turn. With spreadSpares, the spare
// instances are added to the pools of the work instead of a spare pool.
func (d Deployment) instances(decl declaration, spreadSpares bool) []beryllatch.Instance {
	var out []beryllatch.Instance
	perDataCentre := make([]int, len(d.DataCentres))
	add := func(pool string) {
		n := len(out)
		dc := n % len(d.DataCentres)
		out = append(out, beryllatch.Instance{
			ID: fmt.Sprintf("w%03d", n), Pool: pool, DataCentre: d.DataCentres[dc].Name,
			Rack:    fmt.Sprintf("rack%d", perDataCentre[dc]/d.WorkersPerRack),
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+n), Slots: declaredSlots(d.Slots, n, decl.slots),
			Connections: d.Connections, Cores: 16, MemoryMB: 64 << 10,
		})
		perDataCentre[dc]++
	}
	for _, w := range d.Work {
		for range w.Workers {
			add(w.Name)
		}
	}
	for n := range d.Spares {
		if spreadSpares {
			add(d.Work[n%len(d.Work)].Name)
			continue
		}
		add(sparePool)
	}
	return out
}

// declaredSlots returns the slots that the instance with the number n declares, see declaration.
func declaredSlots(slots, n, factor int) int {
	switch {
	case factor > 1 && n%3 == 0:
		return slots * factor
	case factor > 1 && n%3 == 1:
		return max(1, slots/factor)
	}
	return slots
}
