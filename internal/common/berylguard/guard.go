package berylguard

import (
	"fmt"
	"runtime/debug"
)

// PanicError reports a panic.
type PanicError struct {
	// Value is the argument of the panic.
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack []byte
}

// Error names the argument of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Call calls f and returns its error, or a *PanicError if it panics.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}
