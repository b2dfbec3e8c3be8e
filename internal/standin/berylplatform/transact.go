package berylplatform

import (
	"fmt"
	"time"
)

type transactInput struct {
	TransactItems []transactItem
}

// transactItem holds exactly one of its fields.
type transactItem struct {
	Put            *transactAction
	Delete         *transactAction
	ConditionCheck *transactAction
	Update         *transactAction
}

type transactAction struct {
	TableName                 string
	Key                       attributes
	Item                      attributes
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

type transactOutput struct{}

// step is one checked action of a transaction.
type step struct {
	transactAction
	pk, sk string
	put    bool
	remove bool
	holds  condition
}

// transact applies all actions or none.
func (t *table) transact(in transactInput) (transactOutput, *serviceError) {
	steps, fail := in.steps()
	if fail != nil {
		return transactOutput{}, fail
	}
	writes := 0
	for _, s := range steps {
		if s.put || s.remove {
			writes++
		}
	}
	now := time.Now()
	if writes < len(steps) && !t.reads.AllowN(now, len(steps)-writes) {
		return transactOutput{}, throttled()
	}
	if !t.writes.AllowN(now, writes) {
		return transactOutput{}, throttled()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons, failed := make([]reason, len(steps)), false
	for i, s := range steps {
		reasons[i].Code = "None"
		if !s.holds(t.find(s.TableName, s.pk, s.sk)) {
			reasons[i] = reason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if failed {
		return transactOutput{}, &serviceError{
			Type: "TransactionCanceledException", Message: "Transaction cancelled", Reasons: reasons,
		}
	}
	for _, s := range steps {
		switch {
		case s.put:
			t.put(s.TableName, s.pk, s.sk, s.Item)
		case s.remove:
			t.remove(s.TableName, s.pk, s.sk)
		}
	}
	return transactOutput{}, nil
}

func (in transactInput) steps() ([]step, *serviceError) {
	if n := len(in.TransactItems); n == 0 || n > maxItems {
		return nil, invalid(fmt.Sprintf("a transaction has 1 to %d items, got %d", maxItems, n))
	}
	steps := make([]step, 0, len(in.TransactItems))
	seen := make(map[string]bool, len(in.TransactItems))
	for _, item := range in.TransactItems {
		s, fail := item.step()
		if fail != nil {
			return nil, fail
		}
		id := s.TableName + "\x00" + s.pk + "\x00" + s.sk
		if seen[id] {
			return nil, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[id] = true
		steps = append(steps, s)
	}
	return steps, nil
}

func (item transactItem) step() (step, *serviceError) {
	var s step
	switch {
	case item.Put != nil:
		s = step{transactAction: *item.Put, put: true}
		s.Key = s.Item
	case item.Delete != nil:
		s = step{transactAction: *item.Delete, remove: true}
	case item.ConditionCheck != nil:
		s = step{transactAction: *item.ConditionCheck}
	default:
		return s, invalid("only Put, Delete and ConditionCheck are served")
	}
	var fail *serviceError
	if s.pk, s.sk, fail = s.Key.key(); fail != nil {
		return s, fail
	}
	if s.put && s.Item.size() > maxItemBytes {
		return s, invalid("Item size has exceeded the maximum allowed size")
	}
	s.holds, fail = parseCondition(s.ConditionExpression, s.ExpressionAttributeValues)
	return s, fail
}
