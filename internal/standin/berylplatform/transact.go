package berylplatform

import (
	"fmt"
	"time"
)

type transactInput struct {
	TransactItems []transactItem
}

// transactItem is one action of a transaction; exactly one field is set.
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

// action is a validated action of a transaction; it is a condition check if it is neither a put nor a delete.
type action struct {
	transactAction
	pk, sk    string
	isPut     bool
	isDelete  bool
	condition condition
}

// transact applies all actions of a transaction, or none if a condition is not fulfilled.
func (t *table) transact(in transactInput) (transactOutput, *serviceError) {
	actions, fail := in.actions()
	if fail != nil {
		return transactOutput{}, fail
	}
	writes := 0
	for _, a := range actions {
		if a.isPut || a.isDelete {
			writes++
		}
	}
	now := time.Now()
	if writes < len(actions) && !t.readLimiter.AllowN(now, len(actions)-writes) {
		return transactOutput{}, throttled()
	}
	if !t.writeLimiter.AllowN(now, writes) {
		return transactOutput{}, throttled()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons, failed := make([]reason, len(actions)), false
	for i, a := range actions {
		reasons[i].Code = "None"
		if !a.condition(t.find(a.TableName, a.pk, a.sk)) {
			reasons[i] = reason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if failed {
		return transactOutput{}, &serviceError{
			Type: "TransactionCanceledException", Message: "Transaction cancelled", Reasons: reasons,
		}
	}
	for _, a := range actions {
		switch {
		case a.isPut:
			t.put(a.TableName, a.pk, a.sk, a.Item)
		case a.isDelete:
			t.remove(a.TableName, a.pk, a.sk)
		}
	}
	return transactOutput{}, nil
}

func (in transactInput) actions() ([]action, *serviceError) {
	if n := len(in.TransactItems); n == 0 || n > maxTransactItems {
		return nil, invalid(fmt.Sprintf("a transaction has 1 to %d items, got %d", maxTransactItems, n))
	}
	actions := make([]action, 0, len(in.TransactItems))
	seen := make(map[string]bool, len(in.TransactItems))
	for _, item := range in.TransactItems {
		a, fail := item.action()
		if fail != nil {
			return nil, fail
		}
		id := a.TableName + "\x00" + a.pk + "\x00" + a.sk
		if seen[id] {
			return nil, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[id] = true
		actions = append(actions, a)
	}
	return actions, nil
}

func (item transactItem) action() (action, *serviceError) {
	var a action
	switch {
	case item.Put != nil:
		a = action{transactAction: *item.Put, isPut: true}
		a.Key = a.Item
	case item.Delete != nil:
		a = action{transactAction: *item.Delete, isDelete: true}
	case item.ConditionCheck != nil:
		a = action{transactAction: *item.ConditionCheck}
	default:
		return a, invalid("only Put, Delete and ConditionCheck are supported")
	}
	var fail *serviceError
	if a.pk, a.sk, fail = a.Key.key(); fail != nil {
		return a, fail
	}
	if a.isPut && a.Item.size() > maxItemBytes {
		return a, invalid("Item size has exceeded the maximum allowed size")
	}
	a.condition, fail = parseCondition(a.ConditionExpression, a.ExpressionAttributeValues)
	return a, fail
}
