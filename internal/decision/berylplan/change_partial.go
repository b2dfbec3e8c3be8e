package berylplan

import "github.com/beryllatch/beryllatch"

// CreateOnly makes a Put change that is refused with *ExistsError if its object exists already.
type CreateOnly struct{ Change Change }

// ChangeTeam replaces the fields of a team that are not nil.
type ChangeTeam struct {
	Name    string
	Weight  *int
	Ceiling *int
}

// ChangeService replaces the fields of a service that are not nil.
type ChangeService struct {
	Name           string
	MaxUnavailable *int
}

// ChangePool replaces the fields of a pool that are not nil.
type ChangePool struct {
	Name    string
	Service *string
	Spare   *bool
	MinSize *int
	// StandingLoan is the number of instances on loan from spare pools that serve the pool permanently.
	StandingLoan *int
}

// ChangeQueue replaces the fields of a queue that are not nil.
type ChangeQueue struct {
	Name       string
	Pool       *string
	Team       *string
	Open       *bool
	DeadlineMS *int
	MaxQueued  *int
}

// ChangeDataCentre replaces the fields of a data centre that are not nil.
type ChangeDataCentre struct {
	Name   string
	Region *string
}

// ChangeInstance replaces the fields of an instance that are not nil.
type ChangeInstance struct {
	ID           string
	DataCentre   *string
	Rack         *string
	Address      *string
	Slots        *int
	Connections  *int
	Cores        *int
	MemoryMB     *int
	Accelerators *int
}

func (ch CreateOnly) apply(c beryllatch.Config, h Health) (beryllatch.Config, error) {
	field, exists := putField(c, ch.Change)
	if exists {
		return c, &ExistsError{Field: field}
	}
	return ch.Change.apply(c, h)
}

// putField returns the field that a Put change writes, and whether it exists already.
func putField(c beryllatch.Config, ch Change) (string, bool) {
	switch ch := ch.(type) {
	case PutTeam:
		return "teams." + ch.Team.Name, has(c.Teams, ch.Team.Name)
	case PutService:
		return "services." + ch.Service.Name, has(c.Services, ch.Service.Name)
	case PutPool:
		return "pools." + ch.Pool.Name, has(c.Pools, ch.Pool.Name)
	case PutQueue:
		return "queues." + ch.Queue.Name, has(c.Queues, ch.Queue.Name)
	case PutDataCentre:
		return "data_centres." + ch.DataCentre.Name, has(c.DataCentres, ch.DataCentre.Name)
	case PutInstance:
		return "instances." + ch.Instance.ID, has(c.Instances, ch.Instance.ID)
	}
	return "", false
}

func has[V any](m map[string]V, k string) bool {
	_, ok := m[k]
	return ok
}

// set stores the value in the field unless it is nil.
func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (ch ChangeTeam) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	t, ok := c.Teams[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "teams." + ch.Name}
	}
	set(&t.Weight, ch.Weight)
	set(&t.Ceiling, ch.Ceiling)
	return c.WithTeam(t), nil
}

func (ch ChangeService) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	s, ok := c.Services[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "services." + ch.Name}
	}
	set(&s.MaxUnavailable, ch.MaxUnavailable)
	return c.WithService(s), nil
}

func (ch ChangePool) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	p, ok := c.Pools[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "pools." + ch.Name}
	}
	set(&p.Service, ch.Service)
	set(&p.Spare, ch.Spare)
	set(&p.MinSize, ch.MinSize)
	set(&p.StandingLoan, ch.StandingLoan)
	return c.WithPool(p), nil
}

func (ch ChangeQueue) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	q, ok := c.Queues[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "queues." + ch.Name}
	}
	set(&q.Pool, ch.Pool)
	set(&q.Team, ch.Team)
	set(&q.Open, ch.Open)
	set(&q.DeadlineMS, ch.DeadlineMS)
	set(&q.MaxQueued, ch.MaxQueued)
	return c.WithQueue(q), nil
}

func (ch ChangeDataCentre) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	d, ok := c.DataCentres[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "data_centres." + ch.Name}
	}
	set(&d.Region, ch.Region)
	return c.WithDataCentre(d), nil
}

func (ch ChangeInstance) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	i, err := findInstance(c, ch.ID)
	if err != nil {
		return c, err
	}
	set(&i.DataCentre, ch.DataCentre)
	set(&i.Rack, ch.Rack)
	set(&i.Address, ch.Address)
	set(&i.Slots, ch.Slots)
	set(&i.Connections, ch.Connections)
	set(&i.Cores, ch.Cores)
	set(&i.MemoryMB, ch.MemoryMB)
	set(&i.Accelerators, ch.Accelerators)
	return c.WithInstance(i), nil
}
