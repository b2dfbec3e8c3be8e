package berylplan

import (
	"fmt"
	"strings"

	"github.com/beryllatch/beryllatch"
)

// ChangeError reports which change of a list was refused; the whole list has no effect.
type ChangeError struct {
	// Index is the position of the change, from 0.
	Index int
	Err   error
}

// Error returns the position, counted from 1, and the cause.
func (e *ChangeError) Error() string { return fmt.Sprintf("change %d: %v", e.Index+1, e.Err) }

// Unwrap returns the cause.
func (e *ChangeError) Unwrap() error { return e.Err }

// BudgetError reports a change that would take more instances of a service out of service than its budget allows.
type BudgetError struct {
	Service string
	Max     int
	// Unavailable lists the instances that would be out of service, sorted.
	Unavailable []string
}

// Error names the budget and the instances.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("services.%s.max_unavailable: %d instances would be out of service (%s), %d allowed",
		e.Service, len(e.Unavailable), joinNames(e.Unavailable), e.Max)
}

// InUseError reports that an object cannot be removed or used because others refer to it.
type InUseError struct {
	Field string
	// Users lists the fields that refer to it, sorted.
	Users []string
}

// Error names the users.
func (e *InUseError) Error() string {
	return fmt.Sprintf("%s: in use by %s", e.Field, joinNames(e.Users))
}

// NotFoundError reports a change that refers to an object that does not exist.
type NotFoundError struct{ Field string }

// Error names the field.
func (e *NotFoundError) Error() string { return e.Field + ": does not exist" }

// ExistsError reports that an object exists already and cannot be replaced.
type ExistsError struct{ Field string }

// Error names the field.
func (e *ExistsError) Error() string { return e.Field + ": exists already" }

// KeyWithdrawnError reports an attempt to grant a withdrawn key again.
type KeyWithdrawnError struct{ ID string }

// Error names the key.
func (e *KeyWithdrawnError) Error() string {
	return fmt.Sprintf("api_keys.%s.withdrawn: a withdrawn key cannot be granted again", e.ID)
}

// StateError reports a change that the current state of an object does not allow.
type StateError struct {
	Field string
	State string
	Want  string
}

// Error names the field, its state and the required state.
func (e *StateError) Error() string {
	return fmt.Sprintf("%s: is %s, must be %s", e.Field, e.State, e.Want)
}

// MoveError reports a change of an instance that is moving to another pool.
type MoveError struct {
	Instance string
	To       string
}

// Error names the instance and the pool that it is moving to.
func (e *MoveError) Error() string {
	return fmt.Sprintf("instances.%s.move_to: already moving to pool %q", e.Instance, e.To)
}

// MoveCycleError reports a move that would form a cycle with the moves under way.
type MoveCycleError struct {
	Instance string
	// Pools lists the pools of the cycle; it begins and ends with the source of the move.
	Pools []string
}

// Error names the pools of the cycle.
func (e *MoveCycleError) Error() string {
	return fmt.Sprintf("instances.%s.move_to: closes a cycle of moves %s", e.Instance, strings.Join(e.Pools, " -> "))
}

// PoolSizeError reports a change that would leave a pool with too few instances.
type PoolSizeError struct {
	Pool string
	Left int
	Min  int
}

// Error names the pool and its sizes.
func (e *PoolSizeError) Error() string {
	return fmt.Sprintf("pools.%s.min_size: %d instances would be left, %d needed", e.Pool, e.Left, e.Min)
}

func invalid(field, format string, args ...any) error {
	return &beryllatch.InvalidFieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// maxNames is the maximum number of names in one error message.
const maxNames = 12

func joinNames(names []string) string {
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}
