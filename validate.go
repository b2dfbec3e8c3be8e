package beryllatch

import (
	"fmt"
	"regexp"
)

// InvalidFieldError reports a configuration field whose value cannot be accepted.
type InvalidFieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *InvalidFieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// maxStandingLoan equals the limit for spare workers in the questionnaire of a new user (see berylplan). The number of
// instances is no limit, since a standing loan is configured before the instances that fill it are added.
const maxStandingLoan = 10_000

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate returns an *InvalidFieldError for the first field that breaks a rule. The order of the checks is fixed.
func (c Config) Validate() error {
	for _, check := range []func() error{
		c.validateTeams, c.validatePools, c.validateQueues, c.validateAPIKeys, c.validateDataCentres,
		c.validateInstances, c.validateWaves,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c Config) validateTeams() error {
	for _, k := range SortedKeys(c.Teams) {
		t := c.Teams[k]
		field := "teams." + k
		switch {
		case !namePattern.MatchString(k) || t.Name != k:
			return invalid(field, "name must match %s", namePattern)
		case t.Weight < 1 || t.Weight > 1_000_000:
			return invalid(field+".weight", "must be between 1 and 1000000, got %d", t.Weight)
		case t.Ceiling < 1 || t.Ceiling > 1_000_000:
			return invalid(field+".ceiling", "must be between 1 and 1000000, got %d", t.Ceiling)
		}
	}
	return nil
}

func (c Config) validatePools() error {
	for _, k := range SortedKeys(c.Services) {
		s := c.Services[k]
		if !namePattern.MatchString(k) || s.Name != k {
			return invalid("services."+k, "name must match %s", namePattern)
		}
		if s.MaxUnavailable < 1 {
			return invalid("services."+k+".max_unavailable", "must be at least 1, else no instance can ever be maintained")
		}
	}
	for _, k := range SortedKeys(c.Pools) {
		p := c.Pools[k]
		if !namePattern.MatchString(k) || p.Name != k {
			return invalid("pools."+k, "name must match %s", namePattern)
		}
		if _, ok := c.Services[p.Service]; !ok {
			return invalid("pools."+k+".service", "unknown service %q", p.Service)
		}
		if p.MinSize < 0 || p.MinSize > len(c.Instances) {
			return invalid("pools."+k+".min_size", "must be between 0 and the fleet's %d instances, got %d", len(c.Instances), p.MinSize)
		}
		if p.StandingLoan < 0 || p.StandingLoan > maxStandingLoan {
			return invalid("pools."+k+".standing_loan", "must be between 0 and %d, got %d", maxStandingLoan, p.StandingLoan)
		}
		if p.Spare && p.StandingLoan > 0 {
			return invalid("pools."+k+".standing_loan", "a spare pool lends to others and takes no loan itself")
		}
	}
	return nil
}

func (c Config) validateQueues() error {
	for _, k := range SortedKeys(c.Queues) {
		q := c.Queues[k]
		field := "queues." + k
		if !namePattern.MatchString(k) || q.Name != k {
			return invalid(field, "name must match %s", namePattern)
		}
		if _, ok := c.Pools[q.Pool]; !ok {
			return invalid(field+".pool", "unknown pool %q", q.Pool)
		}
		if _, ok := c.Teams[q.Team]; !ok && q.Team != "" {
			return invalid(field+".team", "unknown team %q", q.Team)
		}
		if q.DeadlineMS < 0 || q.MaxQueued < 0 {
			return invalid(field, "deadline_ms and max_queued must not be negative")
		}
	}
	return nil
}

func (c Config) validateAPIKeys() error {
	hashes := make(map[string]string, len(c.APIKeys))
	for _, k := range SortedKeys(c.APIKeys) {
		a := c.APIKeys[k]
		// A withdrawn key stays after its team is removed, so that its secret cannot be granted again.
		if _, ok := c.Teams[a.Team]; !ok && !a.Withdrawn {
			return invalid("api_keys."+k+".team", "unknown team %q", a.Team)
		}
		if len(a.Hash) != 64 {
			return invalid("api_keys."+k+".hash", "must be 64 hexadecimal digits")
		}
		if other, ok := hashes[a.Hash]; ok {
			return invalid("api_keys."+k+".hash", "is the same as that of key %q", other)
		}
		hashes[a.Hash] = k
	}
	return nil
}

func (c Config) validateDataCentres() error {
	for _, k := range SortedKeys(c.DataCentres) {
		if !namePattern.MatchString(k) || c.DataCentres[k].Name != k {
			return invalid("data_centres."+k, "name must match %s", namePattern)
		}
	}
	return nil
}

func (c Config) validateInstances() error {
	addresses := make(map[string]string, len(c.Instances))
	for _, k := range SortedKeys(c.Instances) {
		i := c.Instances[k]
		field := "instances." + k
		if !namePattern.MatchString(k) || i.ID != k {
			return invalid(field, "id must match %s", namePattern)
		}
		if _, ok := c.Pools[i.Pool]; !ok {
			return invalid(field+".pool", "unknown pool %q", i.Pool)
		}
		if _, ok := c.Pools[i.MoveTo]; !ok && i.MoveTo != "" {
			return invalid(field+".move_to", "unknown pool %q", i.MoveTo)
		}
		if _, ok := c.Pools[i.Home]; !ok && i.Home != "" {
			return invalid(field+".home", "unknown pool %q", i.Home)
		}
		if _, ok := c.DataCentres[i.DataCentre]; !ok {
			return invalid(field+".data_centre", "unknown data centre %q", i.DataCentre)
		}
		if i.Slots < 1 || i.Connections < 1 {
			return invalid(field, "slots and connections must be at least 1")
		}
		if i.Cores < 0 || i.MemoryMB < 0 || i.Accelerators < 0 {
			return invalid(field, "cores, memory_mb and accelerators must not be negative")
		}
		if i.State != InstanceActive && i.State != InstanceDraining && i.State != InstanceRebooting {
			return invalid(field+".state", "unknown state %q", i.State)
		}
		if other, ok := addresses[i.Address]; ok {
			return invalid(field+".address", "is the same as that of instance %q", other)
		}
		addresses[i.Address] = k
	}
	return nil
}

func (c Config) validateWaves() error {
	for _, k := range SortedKeys(c.Waves) {
		for _, s := range c.Waves[k].Services {
			if _, ok := c.Services[s]; !ok {
				return invalid("waves."+k+".services", "unknown service %q", s)
			}
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return &InvalidFieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
