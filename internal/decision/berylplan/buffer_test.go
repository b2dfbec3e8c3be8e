package berylplan

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertErrorType fails the test unless the error is of type E or wraps one.
func assertErrorType[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	assert.Assert(t, errors.As(err, &want), "got %T %v", err, err)
}

// TestPlanBuffer guards against buffers that add up the bursts of all pools, or all kinds of failures, although they do not
// coincide.
func TestPlanBuffer(t *testing.T) {
	in := BufferInput{
		SlotsPerInstance: 8, FailuresPerDay: 7, RepairTime: time.Hour, LargestRack: 4, LargestDataCentre: 13,
		Loads: []PoolLoad{{Pool: "a", Mean: 16, Burst: 80}, {Pool: "b", Mean: 8, Burst: 40}, {Pool: "c", Mean: 1, Burst: 5}},
	}
	b := PlanBuffer(in)
	assert.Equal(t, b, Buffer{Base: 4, Burst: 8, BurstUnshared: 12, Random: 3, Rack: 4, DataCentre: 13})
	assert.Equal(t, b.Spare(), 21)
	in.LargestDataCentre, in.LargestRack = 0, 0
	assert.Equal(t, PlanBuffer(in).Spare(), 11)
}
