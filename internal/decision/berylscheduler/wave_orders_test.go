package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// rejected, which the late move would have ended.
func TestShortWaveReplacesNoUnansweredMove(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	move := &instanceOrder{instance: "m-a", pool: "p", inFlight: true}
	h.s.prepareInstanceOrder(move)
	h.openWaveOf(5*time.Second, 1, nil, "a")
	h.apply(InstanceOrderEnded{Instance: "m-a", Err: errNoAnswer})
	h.runFor(time.Second, nil, 0)
	assert.Assert(t, h.s.fleet.orders["m-a"] == move)
	assert.Equal(t, len(h.maintainedInstances()), 0)
}

// The order of another wave was dropped by the time alone, so that this wave counted an instance as back that was still in maintenance.
func TestShortWaveReplacesNoOrderOfAnotherWave(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWaveOf(5*time.Second, 1, nil, "a")
	assert.Assert(t, !h.s.canReplace(&instanceOrder{instance: "m-a", wave: 2, confirmedAt: h.now.Add(-time.Minute)}))
}

// it as up may have been old.
func TestInvalidOrderDoesNotEndAWave(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWaveOf(10*time.Second, 1, nil, "a")
	orders := 0
	for range 60 {
		h.runFor(100*time.Millisecond, nil, 0)
		n := len(h.maintainedInstances())
		orders += n
		h.otherEffects = nil
		if n > 0 {
			h.apply(InstanceOrderEnded{Instance: "m-a", Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceInvalid}})
		}
	}
	assert.Assert(t, !h.s.fleet.waves[1].done)
	assert.Assert(t, orders > 1 && orders <= 6, "%d orders", orders)
}

// up, and another one was ordered while it was in maintenance.
func TestWaveCountsAnInstanceWhoseRepeatedOrderIsRejected(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.openWaveOf(0, 1, nil, "a", "b")
	h.runFor(time.Second, nil, 0)
	ordered := h.maintainedInstances()
	assert.Equal(t, len(ordered), 1)
	h.apply(InstanceOrderEnded{Instance: ordered[0], Err: errNoAnswer})
	h.runFor(500*time.Millisecond, nil, 0)
	assert.Equal(t, len(h.maintainedInstances()), 2)
	h.apply(InstanceOrderEnded{Instance: ordered[0], Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceNotInWave}})
	h.runFor(time.Second, nil, 0)
	for _, i := range h.maintainedInstances() {
		assert.Equal(t, i, ordered[0])
	}
}

// A list that was requested in time but had no answer counted as one that showed an instance as gone, which an older list didn't have yet.
func TestUnansweredListShowsNoInstanceAsGone(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWaveOf(20*time.Second, 1, nil)
	w := h.s.fleet.waves[1]
	w.Instances, w.pending["m-a"] = []string{"m-a"}, true
	w.done = false
	h.runFor(4*time.Second, nil, 0)
	h.apply(InstancesListed{Err: errNoAnswer})
	h.runFor(2*time.Second, nil, 0)
	assert.Assert(t, h.s.fleet.waves[1].pending["m-a"])
}
