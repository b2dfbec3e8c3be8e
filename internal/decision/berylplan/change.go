package berylplan

import "github.com/beryllatch/beryllatch"

// Change is one change of the configuration, made by an operator or by a node.
type Change interface {
	apply(c beryllatch.Config, h Health) (beryllatch.Config, error)
}

// SetLoadMoves switches load moves on or off. Moves already under way are completed in both cases.
type SetLoadMoves struct{ On bool }

func (ch SetLoadMoves) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithLoadMoves(ch.On), nil
}

// Apply returns the configuration after all changes. If one of them is refused or the result is not valid, it returns the
// unchanged configuration with a *ChangeError or *beryllatch.InvalidFieldError.
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

// budgetExempt reports whether a change is made without a check of the disruption budgets. Taking a data centre out is an
// emergency action that must not be refused, and adding an instance takes nothing out of service.
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
