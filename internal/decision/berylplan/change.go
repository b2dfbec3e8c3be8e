package berylplan

import "github.com/beryllatch/beryllatch"

// Change is one change of the configuration.
type Change interface {
	apply(c beryllatch.Config, h Health) (beryllatch.Config, error)
}

// SetLoadMoves lets the nodes move instances for load, or stops them; moves under way end as they are.
type SetLoadMoves struct{ On bool }

func (ch SetLoadMoves) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithLoadMoves(ch.On), nil
}

// Apply returns the configuration after all changes, or a *ChangeError or *beryllatch.InvalidFieldError and the
// configuration as it was.
func Apply(c beryllatch.Config, h Health, changes ...Change) (beryllatch.Config, error) {
	next := c
	for n, ch := range changes {
		after, err := applyOne(next, h, ch)
		if err != nil {
			return c, &ChangeError{Index: n, Err: err}
		}
		next = after
	}
	if err := next.Validate(); err != nil {
		return c, err
	}
	return next, nil
}

func applyOne(c beryllatch.Config, h Health, ch Change) (beryllatch.Config, error) {
	after, err := ch.apply(c, h)
	if err != nil {
		return c, err
	}
	if budgetExempt(c, ch) {
		return after, nil
	}
	return after, checkBudgets(c, after, h)
}

// budgetExempt names the changes that are made whatever the budget says: taking a data centre out is the emergency
// action, and a new instance takes nothing out of service.
func budgetExempt(c beryllatch.Config, ch Change) bool {
	switch ch := ch.(type) {
	case SetDataCentreOut:
		return true
	case CreateOnly:
		return budgetExempt(c, ch.Change)
	case PutInstance:
		_, exists := c.Instances[ch.Instance.ID]
		return !exists
	}
	return false
}
