package berylguard

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCall(t *testing.T) {
	assert.NilError(t, Call(func() error { return nil }))
	failed := errors.New("failed")
	assert.Equal(t, Call(func() error { return failed }), failed)
	var p *PanicError
	assert.Assert(t, errors.As(Call(func() error { panic("unexpected") }), &p))
	assert.Equal(t, p.Value, "unexpected")
	assert.Assert(t, len(p.Stack) > 0)
}
