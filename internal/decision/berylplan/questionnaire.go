package berylplan

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	spareName = "spare"
	// The values for answers that the user leaves out: the request rate during a burst divided by the mean rate, the
	// weight of a large customer, and the ceilings of large and small customers in percent of all slots.
	defaultBurstFactor  = 5.0
	defaultWeightLarge  = 4
	defaultPercentLarge = 60
	defaultPercentSmall = 25
	// entryNodes is the usual number of nodes that accept requests; the waiting requests of a burst are divided over them.
	entryNodes = 8
	// minQueued and maxQueued limit the number of requests that wait at one node.
	minQueued = 32
	maxQueued = 4096
	// usualFailuresPerDay and usualRepairTime give the number of instances set aside for independent failures: a fleet of
	// 630 instances has 7 failures a day, and each instance is down for an hour.
	usualFailuresPerDay = 7.0 / 630
	usualRepairTime     = time.Hour
)

// ExplainedChange is a generated change with an explanation of its values.
type ExplainedChange struct {
	Change Change
	Why    string
}

// Plan is the configuration generated from the answers to the questionnaire.
type Plan struct {
	Changes []ExplainedChange
	// Customers lists the teams that need an API key, in the order of the answers.
	Customers []string
	// Notes compares the planned number of workers with the number that the load and the failures require.
	Notes []string
}

// PlanAnswers generates a configuration from the answers, or returns a *beryllatch.InvalidFieldError.
func PlanAnswers(a Answers) (Plan, error) {
	if err := a.Validate(); err != nil {
		return Plan{}, err
	}
	p := &Plan{}
	p.planDataCentres(a)
	p.planTeams(a)
	p.planWork(a)
	p.add(SetLoadMoves{On: true}, "instances go where a demand lasts over %s, from spare workers or after %s from any work", MoveAfter, LendAfter)
	p.planNotes(a)
	return *p, nil
}

func (p *Plan) add(ch Change, why string, args ...any) {
	p.Changes = append(p.Changes, ExplainedChange{Change: CreateOnly{Change: ch}, Why: fmt.Sprintf(why, args...)})
}

func (p *Plan) planDataCentres(a Answers) {
	for _, d := range a.DataCentres {
		p.add(PutDataCentre{DataCentre: beryllatch.DataCentre{Name: d.Name, Region: d.Region}}, "one of your data centres")
	}
}

func (p *Plan) planTeams(a Answers) {
	slots := a.slots()
	for _, c := range a.Customers {
		weight, percent := c.share()
		ceiling := max(1, slots*percent/100)
		p.Customers = append(p.Customers, c.Name)
		p.add(PutTeam{Team: beryllatch.Team{Name: c.Name, Weight: weight, Ceiling: ceiling}},
			"a %s customer: share %d when the fleet is full, at most %d%% of %d slots", c.Size, weight, percent, slots)
	}
}

// slots returns the number of slots of all planned workers.
func (a Answers) slots() int {
	workers := a.Limits.SpareWorkers
	for _, w := range a.Work {
		workers += w.Workers
	}
	return workers * a.Limits.SlotsPerWorker
}

// share returns the customer's weight and its ceiling in percent.
func (c CustomerAnswer) share() (int, int) {
	weight, percent := 1, defaultPercentSmall
	if c.Size == SizeLarge {
		weight, percent = defaultWeightLarge, defaultPercentLarge
	}
	if c.Weight > 0 {
		weight = c.Weight
	}
	if c.AtMostPercent > 0 {
		percent = c.AtMostPercent
	}
	return weight, percent
}

func (p *Plan) planWork(a Answers) {
	spareService := a.spareService()
	loans := a.standingLoans()
	inSparePool := a.Limits.SpareWorkers
	for _, n := range loans {
		inSparePool -= n
	}
	for _, w := range a.Work {
		workers := w.Workers + loans[w.Name]
		if w.Name == spareService {
			workers += inSparePool
		}
		p.add(PutService{Service: a.service(w.Name, workers)},
			"%d%% of %d workers may be out of service at once", a.Limits.OutAtOncePercent, workers)
		loanText := ""
		if n := loans[w.Name]; n > 0 {
			loanText = fmt.Sprintf(", %d more come on a standing loan", n)
		}
		p.add(PutPool{Pool: beryllatch.Pool{Name: w.Name, Service: w.Name, StandingLoan: loans[w.Name]}},
			"%d workers run this work%s", w.Workers, loanText)
		p.planQueue(w)
	}
	if a.Limits.SpareWorkers == 0 {
		return
	}
	if spareService == spareName {
		p.add(PutService{Service: a.service(spareName, inSparePool)}, "the spare workers have their own budget")
	}
	p.add(PutPool{Pool: beryllatch.Pool{Name: spareName, Service: spareService, Spare: true}},
		"%d workers: %d on standing loans at rest, %d kept for a demand that lasts over %s",
		a.Limits.SpareWorkers, a.Limits.SpareWorkers-inSparePool, inSparePool, MoveAfter)
}

// standingLoans divides the spare workers among the work that must not be late, or among all work if all of it may wait.
// It returns the number of spare workers for each kind of work.
func (a Answers) standingLoans() map[string]int {
	sizes := make(map[string]int, len(a.Work))
	var all, urgent []PoolLoad
	for _, w := range a.Work {
		sizes[w.Name] = w.Workers
		l := w.load()
		all = append(all, l)
		if w.Late == LateLostSale {
			urgent = append(urgent, l)
		}
	}
	if len(urgent) == 0 {
		urgent = all
	}
	return StandingLoans(urgent, sizes, a.Limits.SlotsPerWorker, a.Limits.SpareWorkers)
}

// load returns the work's demand in slots: the arrival rate times the run time.
func (w WorkAnswer) load() PoolLoad {
	mean := w.PerMinute / 60 * float64(w.RunTimeMS) / 1000
	return PoolLoad{Pool: w.Name, Mean: mean, Burst: mean * w.burst()}
}

func (a Answers) service(name string, workers int) beryllatch.Service {
	return beryllatch.Service{Name: name, MaxUnavailable: max(1, workers*a.Limits.OutAtOncePercent/100)}
}

// spareService returns the service whose disruption budget includes the spare pool: the first one whose work may wait, or a
// service of its own if there is none.
func (a Answers) spareService() string {
	for _, w := range a.Work {
		if w.Late == LateMayWait {
			return w.Name
		}
	}
	return spareName
}

func (p *Plan) planQueue(w WorkAnswer) {
	d, _ := w.deadline("")
	queued := queuedPerNode(w, d)
	lateText := "late work is a lost sale, so it is refused early rather than answered late"
	if w.Late == LateMayWait {
		lateText = fmt.Sprintf("work that comes by %s is done by %s", w.LastHandedIn, w.WaitUntil)
	}
	users := "every customer with a key"
	switch {
	case w.Open:
		users = "everyone, without a key"
	case w.OnlyFor != "":
		users = w.OnlyFor + " alone"
	}
	p.add(PutQueue{Queue: beryllatch.Queue{
		Name: w.Name, Pool: w.Name, Team: w.OnlyFor, Open: w.Open, DeadlineMS: int(d.Milliseconds()), MaxQueued: queued,
	}}, "for %s; %s; a burst of %gx may wait at %d nodes", users, lateText, w.burst(), entryNodes)
}

func (w WorkAnswer) burst() float64 {
	if w.BurstFactor == 0 {
		return defaultBurstFactor
	}
	return w.BurstFactor
}

// queuedPerNode returns the queue limit for one node: the requests of a burst that arrive before the first of them is late,
// divided over the nodes.
func queuedPerNode(w WorkAnswer, deadline time.Duration) int {
	n := w.PerMinute / 60 * w.burst() * deadline.Seconds() / entryNodes
	return int(math.Min(maxQueued, math.Max(minQueued, math.Ceil(n))))
}

// planNotes compares the planned number of workers with the number that PlanBuffer computes.
func (p *Plan) planNotes(a Answers) {
	in := BufferInput{
		SlotsPerInstance: a.Limits.SlotsPerWorker, RepairTime: usualRepairTime, LargestRack: a.Limits.WorkersPerRack,
	}
	plannedWorkers := a.slots() / a.Limits.SlotsPerWorker
	in.FailuresPerDay = usualFailuresPerDay * float64(plannedWorkers)
	in.LargestDataCentre = (plannedWorkers + len(a.DataCentres) - 1) / len(a.DataCentres)
	for _, w := range a.Work {
		in.Loads = append(in.Loads, w.load())
	}
	b := PlanBuffer(in)
	p.Notes = append(p.Notes, fmt.Sprintf(
		"%d workers planned, %d needed: %d for the mean load, %d for the largest burst (%d if the bursts did not come in turn),"+
			" %d for the loss of a data centre, a rack (%d) or single workers (%d)",
		plannedWorkers, b.Total(), b.Base, b.Burst, b.BurstUnshared, b.Failure(), b.Rack, b.Random))
	if b.Total() > plannedWorkers {
		p.Notes = append(p.Notes, fmt.Sprintf("%d workers are missing for a burst during the loss of a data centre",
			b.Total()-plannedWorkers))
	}
}

// Apply returns the configuration after all changes of the plan.
func (p Plan) Apply(c beryllatch.Config) (beryllatch.Config, error) {
	changes := make([]Change, 0, len(p.Changes))
	for _, ch := range p.Changes {
		changes = append(changes, ch.Change)
	}
	return Apply(c, nil, changes...)
}

// Line returns the change in the format of Lines, as one line.
func (e ExplainedChange) Line() string {
	inner, _ := e.Change.(CreateOnly)
	c, err := inner.Change.apply(beryllatch.Config{}, nil)
	if err != nil {
		return err.Error()
	}
	return strings.Join(Lines(c)[1:], "; ")
}
