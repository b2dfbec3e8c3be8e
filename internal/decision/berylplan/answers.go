package berylplan

import (
	"fmt"
	"regexp"
	"time"
)

// LateAnswer says what late work means to the user.
type LateAnswer string

// The answers about late work.
const (
	// LateLostSale means that late work is worth nothing. Such work has a deadline of its own.
	LateLostSale LateAnswer = "lost_sale"
	// LateMayWait means that the work may wait until a time of day.
	LateMayWait LateAnswer = "may_wait"
)

// SizeAnswer is the size of a customer; it gives the defaults for the customer's weight and ceiling.
type SizeAnswer string

// The sizes of customers.
const (
	SizeLarge SizeAnswer = "large"
	SizeSmall SizeAnswer = "small"
)

// Answers are a user's answers to the questionnaire, from which PlanAnswers generates a configuration.
type Answers struct {
	User        string             `json:"user"`
	DataCentres []DataCentreAnswer `json:"data_centres"`
	Work        []WorkAnswer       `json:"work"`
	Customers   []CustomerAnswer   `json:"customers"`
	Limits      LimitsAnswer       `json:"limits"`
}

// DataCentreAnswer describes a data centre.
type DataCentreAnswer struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// WorkAnswer describes one kind of work.
type WorkAnswer struct {
	Name string `json:"name"`
	// PerMinute is the mean number of requests per minute.
	PerMinute float64 `json:"per_minute"`
	// BurstFactor is the request rate during a burst divided by the mean rate; 0 means 5.
	BurstFactor float64 `json:"burst_factor,omitempty"`
	RunTimeMS   int     `json:"run_time_ms"`
	// Workers is the number of workers planned for the work.
	Workers int        `json:"workers"`
	Late    LateAnswer `json:"late"`
	// AnswerWithinMS is the deadline in milliseconds of work whose Late is LateLostSale.
	AnswerWithinMS int `json:"answer_within_ms,omitempty"`
	// LastHandedIn and WaitUntil are times of day for work whose Late is LateMayWait: when the last of it arrives, and
	// when all of it must be done.
	LastHandedIn string `json:"last_handed_in,omitempty"`
	WaitUntil    string `json:"wait_until,omitempty"`
	// OnlyFor is the only customer that may submit this work; empty means every customer.
	OnlyFor string `json:"only_for,omitempty"`
	// Open is true if the work is accepted without an API key.
	Open bool `json:"open,omitempty"`
}

// CustomerAnswer describes one customer.
type CustomerAnswer struct {
	Name string     `json:"name"`
	Size SizeAnswer `json:"size"`
	// Weight is the customer's share, relative to the other customers, when the fleet is full; 0 means 4 for a large
	// customer and 1 for a small one.
	Weight int `json:"weight,omitempty"`
	// AtMostPercent is the customer's ceiling in percent of all slots; 0 means 60 for a large customer and 25 for a small
	// one.
	AtMostPercent int `json:"at_most_percent,omitempty"`
}

// LimitsAnswer holds the limits of the fleet.
type LimitsAnswer struct {
	SlotsPerWorker int `json:"slots_per_worker"`
	// WorkersPerRack is the number of workers that fail together with one rack or switch.
	WorkersPerRack int `json:"workers_per_rack"`
	SpareWorkers   int `json:"spare_workers,omitempty"`
	// OutAtOncePercent is the percentage of a service's workers that may be out of service at the same time.
	OutAtOncePercent int `json:"out_at_once_percent"`
}

const (
	timeOfDay = "15:04"
	// maxAnswers is the maximum number of data centres, of kinds of work and of customers.
	maxAnswers = 200
)

var answerName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate returns a *beryllatch.InvalidFieldError for the first answer that cannot be used.
func (a Answers) Validate() error {
	for _, check := range []func() error{a.validateFleet, a.validateWork, a.validateCustomers, a.validateLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (a Answers) validateFleet() error {
	if err := checkName("user", a.User, map[string]bool{}); err != nil {
		return err
	}
	if err := checkRange("data_centres", len(a.DataCentres), 1, maxAnswers); err != nil {
		return err
	}
	taken := map[string]bool{}
	for n, d := range a.DataCentres {
		if err := checkName(fmt.Sprintf("data_centres[%d].name", n), d.Name, taken); err != nil {
			return err
		}
	}
	return nil
}

func (a Answers) validateWork() error {
	if err := checkRange("work", len(a.Work), 1, maxAnswers); err != nil {
		return err
	}
	taken := map[string]bool{spareName: true}
	for n, w := range a.Work {
		field := fmt.Sprintf("work[%d]", n)
		if err := checkName(field+".name", w.Name, taken); err != nil {
			return err
		}
		if err := a.validateWorkAnswer(field, w); err != nil {
			return err
		}
	}
	return nil
}

func (a Answers) validateWorkAnswer(field string, w WorkAnswer) error {
	if !(w.PerMinute > 0 && w.PerMinute <= 1e6) {
		return invalid(field+".per_minute", "must be above 0 and at most 1000000")
	}
	if w.BurstFactor != 0 && !(w.BurstFactor >= 1 && w.BurstFactor <= 100) {
		return invalid(field+".burst_factor", "must be between 1 and 100, or 0 for 5")
	}
	if err := checkRange(field+".run_time_ms", w.RunTimeMS, 1, int((24 * time.Hour).Milliseconds())); err != nil {
		return err
	}
	if err := checkRange(field+".workers", w.Workers, 1, 10_000); err != nil {
		return err
	}
	if w.OnlyFor != "" && !a.hasCustomer(w.OnlyFor) {
		return invalid(field+".only_for", "unknown customer %q", w.OnlyFor)
	}
	if w.OnlyFor != "" && w.Open {
		return invalid(field+".open", "work for one customer needs that customer's key")
	}
	_, err := w.deadline(field)
	return err
}

func (a Answers) hasCustomer(name string) bool {
	for _, c := range a.Customers {
		if c.Name == name {
			return true
		}
	}
	return false
}

// deadline returns the time from arrival to completion that the work is allowed, or an error that names the field.
func (w WorkAnswer) deadline(field string) (time.Duration, error) {
	switch w.Late {
	case LateLostSale:
		if err := checkRange(field+".answer_within_ms", w.AnswerWithinMS, w.RunTimeMS, 60_000); err != nil {
			return 0, err
		}
		return time.Duration(w.AnswerWithinMS) * time.Millisecond, nil
	case LateMayWait:
		last, err := time.Parse(timeOfDay, w.LastHandedIn)
		if err != nil {
			return 0, invalid(field+".last_handed_in", "must be a time of day such as 04:00, got %q", w.LastHandedIn)
		}
		until, err := time.Parse(timeOfDay, w.WaitUntil)
		if err != nil {
			return 0, invalid(field+".wait_until", "must be a time of day such as 06:30, got %q", w.WaitUntil)
		}
		d := (until.Sub(last) + 24*time.Hour) % (24 * time.Hour)
		if d < time.Duration(w.RunTimeMS)*time.Millisecond {
			return 0, invalid(field+".wait_until", "leaves %s after the last work comes, less than its run time", d)
		}
		return d, nil
	}
	return 0, invalid(field+".late", "must be %s or %s, got %q", LateLostSale, LateMayWait, w.Late)
}

func (a Answers) validateCustomers() error {
	if err := checkRange("customers", len(a.Customers), 1, maxAnswers); err != nil {
		return err
	}
	taken := map[string]bool{}
	for n, c := range a.Customers {
		field := fmt.Sprintf("customers[%d]", n)
		if err := checkName(field+".name", c.Name, taken); err != nil {
			return err
		}
		if c.Size != SizeLarge && c.Size != SizeSmall {
			return invalid(field+".size", "must be %s or %s, got %q", SizeLarge, SizeSmall, c.Size)
		}
		if err := checkRange(field+".weight", c.Weight, 0, 1000); err != nil {
			return err
		}
		if err := checkRange(field+".at_most_percent", c.AtMostPercent, 0, 100); err != nil {
			return err
		}
	}
	return nil
}

func (a Answers) validateLimits() error {
	l := a.Limits
	if err := checkRange("limits.slots_per_worker", l.SlotsPerWorker, 1, 1000); err != nil {
		return err
	}
	if err := checkRange("limits.workers_per_rack", l.WorkersPerRack, 1, 1000); err != nil {
		return err
	}
	if err := checkRange("limits.spare_workers", l.SpareWorkers, 0, 10_000); err != nil {
		return err
	}
	return checkRange("limits.out_at_once_percent", l.OutAtOncePercent, 1, 50)
}

func checkName(field, name string, taken map[string]bool) error {
	if !answerName.MatchString(name) {
		return invalid(field, "must match %s, got %q", answerName, name)
	}
	if taken[name] {
		return invalid(field, "%q is taken", name)
	}
	taken[name] = true
	return nil
}

func checkRange(field string, n, low, high int) error {
	if n < low || n > high {
		return invalid(field, "must be between %d and %d, got %d", low, high, n)
	}
	return nil
}
