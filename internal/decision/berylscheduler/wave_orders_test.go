package berylscheduler

import (
	"slices"
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

// limitedStepOn returns a scheduler with the workers and a step of as many tasks as workers, at full performance, of which one may be missing.
func limitedStepOn(t *testing.T, ids ...string) (*harness, []StartRun) {
	t.Helper()
	h := newHarness(t)
	h.register(ids...)
	h.accept(limitedStep(len(ids), 1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), len(ids))
	h.runFor(time.Second, starts, 100)
	return h, starts
}

// counted as present, so that another one of their step was stopped.
func TestTasksOnInstancesThatMayStillGoDownAreMissing(t *testing.T) {
	for name, order := range map[string]func(h *harness, w *wave){
		"after a busy platform": func(h *harness, w *wave) {
			h.s.recordMaintenance(w, "m-a")
			o := &instanceOrder{instance: "m-a", wave: 1, inFlight: true}
			h.s.prepareInstanceOrder(o)
			w.ordered["m-a"].sent = true
			h.apply(InstanceOrderEnded{Instance: "m-a", Err: errNoAnswer})
			o.inFlight = true
			h.apply(InstanceOrderEnded{Instance: "m-a", Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceBusy}})
		},
		"after a takeover": func(_ *harness, w *wave) {
			w.ordered["m-a"] = &maintenanceRecord{sent: true, unanswered: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, starts := limitedStepOn(t, "a", "b")
			// An instance that is not up isn't ordered again.
			h.openWaveOf(20*time.Second, 2, nil, "a", "b")
			w := h.s.fleet.waves[1]
			order(h, w)
			h.s.fleet.instances["m-a"] = beryllatch.FleetInstance{Name: "m-a", Pool: "p", State: beryllatch.FleetInstanceMoving}
			for range 30 {
				h.runFor(100*time.Millisecond, starts, 100)
				assert.Assert(t, !slices.Contains(h.maintainedInstances(), "m-b"))
			}
			assert.Assert(t, !h.s.usable(h.s.workers["a"]))
		})
	}
}

// ended.
func TestNewWorkerWithAnUnansweredOrderGetsNoTasks(t *testing.T) {
	h := newHarness(t)
	h.openWaveOf(10*time.Second, 1, map[string]beryllatch.FleetInstanceState{"a": beryllatch.FleetInstanceDown}, "a")
	for range 70 {
		if h.runFor(100*time.Millisecond, nil, 0); len(h.maintainedInstances()) > 0 {
			break
		}
	}
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-a"})
	h.register("a")
	h.accept(limitedStep(1, 1))
	assert.Equal(t, len(h.starts), 0)
}

// could have had all of them.
func TestCutOffWorkerMayHaveRunsOfLaterSteps(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := limitedStep(3, 1)
	first := singleTaskJob("").Steps[0]
	j.Steps = []beryllatch.JobStep{first, j.Steps[0]}
	j.Steps[1].After = []int{0}
	h.accept(j)
	k := h.s.workers["a"]
	k.synced, k.failedHolds = false, 1
	assert.Assert(t, !h.s.canStopUnknownRuns(k))
}

// Orders of a wave that operators had withdrawn went out without a record and without its limit.
func TestWithdrawnWaveSendsNoOrders(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	h.openWaveOf(0, 2, nil, "a", "b", "c")
	h.apply(Ticked{})
	assert.Equal(t, len(h.s.fleet.orders), 2)
	h.apply(OperationsChanged{})
	h.runFor(time.Second, nil, 0)
	assert.Equal(t, len(h.maintainedInstances()), 0)
	assert.Equal(t, len(h.s.fleet.orders), 0)
}

// A worker that registered on an instance whose order had been prepared, after a move, got tasks that then had to end or move first.
func TestNewWorkerOnAPreparedInstanceGetsNoTasks(t *testing.T) {
	h := newHarness(t)
	h.openWaveOf(0, 1, nil, "a")
	h.apply(Ticked{})
	assert.Assert(t, h.s.fleet.orders["m-a"] != nil)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
	assert.Assert(t, !h.s.inService(h.s.workers["a"]))
}
