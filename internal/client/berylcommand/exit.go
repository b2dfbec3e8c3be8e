package berylcommand

import (
	"errors"
	"fmt"
)

// The exit statuses of the client, which the help text and the reference page explain.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// errHelpShown ends a command line that only asked for help; it counts as success.
var errHelpShown = errors.New("help shown")

// usageError reports a command line, setting or file that cannot be used. The client has sent nothing.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{err: fmt.Errorf(format, args...)} }

// refusedError reports a call that a node refused, or a name that does not exist; nothing was changed.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "refused: " + e.reason }

// unknownError reports an operation that may or may not have taken effect, and how to repeat it safely.
type unknownError struct {
	operation string
	reason    string
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s; repeat with --operation-id=%s", e.reason, e.operation)
}

// unreachableError reports that no node could be reached or gave a usable answer.
type unreachableError struct {
	addresses []string
	err       error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no node answered at %v: %v", e.addresses, e.err)
}

func (e *unreachableError) Unwrap() error { return e.err }

func exitStatus(err error) int {
	var (
		refused     *refusedError
		unknown     *unknownError
		unreachable *unreachableError
	)
	switch {
	case err == nil || errors.Is(err, errHelpShown):
		return exitDone
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &unreachable):
		return exitUnreachable
	}
	return exitUsage
}
