package berylplan

import (
	"slices"

	"github.com/beryllatch/beryllatch"
)

// PutDataCentre adds a data centre or replaces its region. It does not change whether the data centre is out of service.
type PutDataCentre struct{ DataCentre beryllatch.DataCentre }

// RemoveDataCentre removes a data centre; it is refused while the data centre has instances.
type RemoveDataCentre struct{ Name string }

// SetDataCentreOut takes a data centre out of service or brings it back. No budget can refuse it.
type SetDataCentreOut struct {
	Name string
	Out  bool
}

func (ch PutDataCentre) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if ch.DataCentre.Name == "" {
		return c, invalid("data_centres", "name is missing")
	}
	d := ch.DataCentre
	d.Out = c.DataCentres[d.Name].Out
	return c.WithDataCentre(d), nil
}

func (ch RemoveDataCentre) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if _, ok := c.DataCentres[ch.Name]; !ok {
		return c, &NotFoundError{Field: "data_centres." + ch.Name}
	}
	var users []string
	for id, i := range c.Instances {
		if i.DataCentre == ch.Name {
			users = append(users, "instances."+id)
		}
	}
	if len(users) > 0 {
		slices.Sort(users)
		return c, &InUseError{Field: "data_centres." + ch.Name, Users: users}
	}
	return c.WithoutDataCentre(ch.Name), nil
}

func (ch SetDataCentreOut) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	d, ok := c.DataCentres[ch.Name]
	if !ok {
		return c, &NotFoundError{Field: "data_centres." + ch.Name}
	}
	d.Out = ch.Out
	return c.WithDataCentre(d), nil
}
