package berylscheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// openWaveOf opens a wave for the instances of the workers, all listed as up unless another state is given.
func (h *harness) openWaveOf(deadline time.Duration, maxDown int, states map[string]beryllatch.FleetInstanceState, ids ...string) {
	h.t.Helper()
	m := beryllatch.MaintenanceWave{Number: 1, Deadline: deadline, MaxDown: maxDown}
	for _, id := range ids {
		m.Instances = append(m.Instances, "m-"+id)
	}
	h.apply(OperationsChanged{beryllatch.Operations{Waves: map[int]beryllatch.MaintenanceWave{1: m}}})
	h.list(states, ids...)
}

func (h *harness) list(states map[string]beryllatch.FleetInstanceState, ids ...string) {
	h.t.Helper()
	list := instancesOf(ids...)
	for n := range list {
		list[n].Capacity = workerInfo("").Capacity
		if state, ok := states[list[n].Worker]; ok {
			list[n].State = state
			if state != beryllatch.FleetInstanceUp {
				list[n].Worker = ""
			}
		}
	}
	h.tickFor(100 * time.Millisecond)
	h.apply(InstancesListed{Instances: list})
}

// runFor advances the clock and answers all holds and transactions meanwhile; the runs of starts go on.
func (h *harness) runFor(d time.Duration, starts []StartRun, percent int) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickFor(100 * time.Millisecond)
		h.storeAll()
		h.answerHolds(runningLists(starts, percent))
	}
}

func limitedStep(count, maxMissing int) beryllatch.Job {
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker, j.Steps[0].MaxMissing = count, true, 1, maxMissing
	return j
}

// An instance whose move has been carried out was left behind while its new worker did not register, for which moves wait up to 8 s. m-b
// shows that the wave itself has the time.
func TestShortWaveTakesInstancesThatAMoveHolds(t *testing.T) {
	for name, state := range map[string]beryllatch.FleetInstanceState{
		"listed as up": beryllatch.FleetInstanceUp, "by an old list": beryllatch.FleetInstanceMoving,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b")
			move := &instanceOrder{instance: "m-a", pool: "p", inFlight: true}
			h.s.prepareInstanceOrder(move)
			h.openWaveOf(8*time.Second, 2, map[string]beryllatch.FleetInstanceState{"a": state}, "a", "b")
			h.runFor(2200*time.Millisecond, nil, 0)
			h.apply(InstanceOrderEnded{Instance: "m-a"})
			if state == beryllatch.FleetInstanceUp {
				h.list(nil, "a", "b")
			}
			h.runFor(3600*time.Millisecond, nil, 0)
			ordered := h.maintainedInstances()
			assert.Assert(t, slices.Contains(ordered, "m-b"))
			assert.Assert(t, slices.Contains(ordered, "m-a"))
		})
	}
}

// Pools that burst in turn took instances that their wave still had to maintain, again and again, while the wave had its maximum down.
func TestMovesLeaveInstancesToAShortWave(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.openWaveOf(5*time.Second, 1, nil, "a", "b")
	h.runFor(4*time.Second, nil, 0)
	ordered := h.maintainedInstances()
	assert.Equal(t, len(ordered), 1)
	left := map[string]string{"m-a": "m-b", "m-b": "m-a"}[ordered[0]]
	delete(h.s.fleet.orders, left)
	from := &poolDemand{name: "p", supply: 10, idleInstances: []string{left}}
	to := &poolDemand{name: "q", target: 1}
	assert.Equal(t, h.s.takeDonor([]*poolDemand{to, from}, to, donorFilter{}), "")
	h.s.fleet.budget.available = 10
	h.s.workers[strings.TrimPrefix(left, "m-")].idleSince = h.now.Add(-time.Minute)
	from.hadBurst = true
	h.s.moveIdleToStandby([]*poolDemand{from, {name: "spare", standby: true}})
	assert.Assert(t, h.s.fleet.orders[left] == nil)
}

// An instance that was not listed as up was never ordered. It is tried, at most once in each listInterval, and what the platform says of it
// then must not end its part in the wave.
func TestShortWaveTriesInstancesThatAreNotUp(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	states := map[string]beryllatch.FleetInstanceState{"a": beryllatch.FleetInstanceDown}
	h.openWaveOf(10*time.Second, 2, states, "a", "b")
	awaitOrder := func() {
		for range 70 {
			if h.runFor(100*time.Millisecond, nil, 0); slices.Contains(h.maintainedInstances(), "m-a") {
				return
			}
		}
		t.Fatal("m-a was not ordered")
	}
	awaitOrder()
	for _, reason := range []beryllatch.InstanceRejection{beryllatch.InstanceInvalid, beryllatch.InstanceBusy} {
		h.otherEffects = nil
		h.apply(InstanceOrderEnded{Instance: "m-a", Err: &beryllatch.InstanceRejectedError{Reason: reason}})
		assert.Assert(t, h.s.fleet.waves[1].pending["m-a"])
		h.runFor(listInterval/2, nil, 0)
		assert.Assert(t, !slices.Contains(h.maintainedInstances(), "m-a"))
		awaitOrder()
	}
}

// Near the deadline an instance waited up to shortTaskTimeout for its short runs.
func TestHurriedWaveWaitsForNoShortRuns(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.openWaveOf(5*time.Second, 1, nil, "a")
	h.runFor(time.Second, starts, 10)
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-a"})
}

// Tasks of one step leave their workers one after another. Their instances were taken last, when there was no time for that any more.
func TestInstancesThatWaitTheLongestGoFirst(t *testing.T) {
	h := newHarness(t)
	ids := []string{"a", "b", "c", "d", "e", "f"}
	h.register(ids...)
	h.accept(limitedStep(3, 1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 3)
	h.runFor(time.Second, starts, 100)
	h.openWaveOf(20*time.Second, 6, nil, ids...)
	h.runFor(4*time.Second, starts, 100)
	ordered := h.maintainedInstances()
	assert.Assert(t, len(ordered) > 0)
	assert.Assert(t, slices.ContainsFunc(starts, func(f StartRun) bool { return "m-"+f.Worker.ID == ordered[0] }), "%v", ordered)
}

// A task that had left an instance of a wave started on another instance of it, so that it had to move again, near the deadline.
func TestTasksMoveToInstancesThatTheWaveDoesNotTake(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.openWaveOf(20*time.Second, 1, nil, "a")
	h.accept(limitedStep(1, 1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker.ID, "b")
}

// blockedTask returns a scheduler with a long-running task that must not stop, since the other one of its step never reaches its full
// performance. The workers a and b have one each, the third worker has none.
func blockedTask(t *testing.T, others ...string) (*harness, []StartRun) {
	t.Helper()
	h := newHarness(t)
	h.register("a", "b")
	h.accept(limitedStep(2, 1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	if len(others) > 0 {
		h.register(others...)
	}
	h.runFor(time.Second, starts, 50)
	return h, starts
}

// An order that waited for long-running tasks was dropped after vacateTimeout, also right before the deadline, and began to wait anew.
func TestShortWaveKeepsItsOrdersPrepared(t *testing.T) {
	h, starts := blockedTask(t)
	h.openWaveOf(40*time.Second, 1, nil, "a")
	h.runFor(33*time.Second, starts, 50)
	o := h.s.fleet.orders["m-a"]
	assert.Assert(t, o != nil)
	h.runFor(vacateTimeout, starts, 50)
	assert.Assert(t, h.s.fleet.orders["m-a"] == o)
	assert.Equal(t, len(h.maintainedInstances()), 0, "its step can't do without the task")
}

// An instance whose tasks could not move held a place of the maximum, and others that could go at once were left behind.
func TestInstancesThatCannotGoHoldUpNoOthers(t *testing.T) {
	h, starts := blockedTask(t, "c")
	states := map[string]beryllatch.FleetInstanceState{"c": beryllatch.FleetInstanceMoving}
	h.openWaveOf(20*time.Second, 1, states, "a", "c")
	h.runFor(14900*time.Millisecond, starts, 50)
	for _, e := range h.maintainedInstances() {
		assert.Equal(t, e, "m-c", "its step can't do without the task on a")
		h.apply(InstanceOrderEnded{Instance: e, Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceBusy}})
	}
	h.otherEffects = nil
	h.list(nil, "a", "c")
	h.runFor(2*time.Second, starts, 50)
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-c"})
}

// An instance whose tasks could no longer stop, once its order was on record, kept its place of the maximum until the end of the wave.
func TestRecordedInstancesThatCannotGoHoldUpNoOthers(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.accept(limitedStep(2, 1))
	starts := h.confirmStarts()
	h.register("c")
	h.runFor(time.Second, starts, 100)
	states := map[string]beryllatch.FleetInstanceState{"c": beryllatch.FleetInstanceMoving}
	h.openWaveOf(8*time.Second, 1, states, "a", "c")
	for range 30 {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(runningLists(starts, 100))
	}
	w := h.s.fleet.waves[1]
	assert.Assert(t, w.ordered["m-a"] != nil && !w.ordered["m-a"].sent)
	h.answerHolds(runningLists(starts, 50))
	h.tickFor(time.Second)
	h.answerHolds(runningLists(starts, 50))
	h.list(nil, "a", "c")
	h.runFor(time.Second, starts, 50)
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-c"})
}

// After a takeover, a worker that is cut off was left alone until its longest lease had run out, after half of the wave. It is taken only if
// no step can lack too many of the tasks that it may have.
func TestShortWaveTakesWorkersThatAreCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		maxMissing int
		want       bool
	}{"without a limited step": {0, true}, "with one that can do without": {2, true}, "with one that can't": {1, false}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			stored := make(storedRows)
			infos := []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b"), workerInfo("c")}
			h.apply(RegistryChanged{Workers: infos})
			h.storeInto(stored)
			j := limitedStep(3, c.maxMissing)
			h.submit(j)
			for range 3 {
				h.storeInto(stored)
				h.answerHolds(nil)
				h.tickFor(100 * time.Millisecond)
			}
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 3)
			h.storeInto(stored)
			// b is cut off as well, so that two tasks are missing.
			next := h.takeOver(stored)
			next.apply(RegistryRead{Workers: infos})
			next.answerHolds(runningLists(starts, 100), "a", "b")
			next.openWaveOf(8*time.Second, 2, nil, "a")
			for range 58 {
				next.tickFor(100 * time.Millisecond)
				next.storeAll()
				next.answerHolds(runningLists(starts, 100), "a", "b")
			}
			assert.Equal(t, len(next.maintainedInstances()) > 0, c.want)
		})
	}
}

// While the store is unavailable no worker registers, and each instance that had returned held a place of the maximum for another 4 s.
func TestShortWaveCountsInstancesThatAreBack(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.openWaveOf(9*time.Second, 1, nil, "a", "b")
	down := ""
	for opened := h.s.fleet.waves[1].firstSeen; h.now.Sub(opened) < 7*time.Second; {
		h.runFor(100*time.Millisecond, nil, 0)
		if ordered := h.maintainedInstances(); down == "" && len(ordered) == 1 {
			down = strings.TrimPrefix(ordered[0], "m-")
			h.apply(InstanceOrderEnded{Instance: ordered[0]})
			h.list(map[string]beryllatch.FleetInstanceState{down: beryllatch.FleetInstanceMaintenance}, "a", "b")
			continue
		}
		if o := h.s.fleet.orders["m-"+down]; o != nil && h.now.Sub(o.confirmedAt) >= h.s.Limits.MaintenanceTime {
			h.list(nil, "a", "b")
		}
	}
	assert.Equal(t, len(slices.Compact(h.maintainedInstances())), 2)
}

// The even pace took the first of three instances after 2.2 s of a wave in which there was time for one after another only.
func TestPaceOfAShortWave(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	h.openWaveOf(10*time.Second, 1, nil, "a", "b", "c")
	h.runFor(time.Second, nil, 0)
	assert.Equal(t, len(h.maintainedInstances()), 1)
}

// An instance that was up again, or had arrived in its pool, was seen only in the next list, up to a second later.
func TestShortWaveListsInstancesMoreOften(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWaveOf(5*time.Second, 1, map[string]beryllatch.FleetInstanceState{"a": beryllatch.FleetInstanceMoving}, "a")
	h.otherEffects = nil
	lists := 0
	for range 10 {
		h.runFor(100*time.Millisecond, nil, 0)
		for _, f := range h.otherEffects {
			if _, ok := f.(ListInstances); ok {
				lists++
				h.otherEffects = nil
				h.list(map[string]beryllatch.FleetInstanceState{"a": beryllatch.FleetInstanceMoving}, "a")
				break
			}
		}
	}
	assert.Assert(t, lists >= 3, "%d lists in a second", lists)
}

// An order without an answer was repeated after a pause only.
func TestShortWaveRepeatsUnansweredOrdersAtOnce(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWaveOf(5*time.Second, 1, nil, "a")
	h.runFor(4*time.Second, nil, 0)
	h.otherEffects = nil
	h.apply(InstanceOrderEnded{Instance: "m-a", Err: errNoAnswer})
	h.runFor(100*time.Millisecond, nil, 0)
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-a"})
}

// Operators were not told which instances of a wave were left and why: the log has it once a second from half of the wave's time, the gauges
// until it is done.
func TestWaveSaysWhatIsLeft(t *testing.T) {
	h, starts := blockedTask(t)
	h.openWaveOf(20*time.Second, 2, map[string]beryllatch.FleetInstanceState{"b": beryllatch.FleetInstanceDown}, "a", "b")
	logged := func() int {
		n := 0
		for _, name := range h.decisions {
			if name == "wave_waits" {
				n++
			}
		}
		return n
	}
	h.runFor(9*time.Second, starts, 50)
	assert.Equal(t, logged(), 0)
	h.otherEffects = nil
	h.runFor(6*time.Second, starts, 50)
	assert.Assert(t, logged() >= 4 && logged() <= 6, "%d lines in 6 s", logged())
	var last *WavesLeft
	for _, f := range h.otherEffects {
		if left, ok := f.(WavesLeft); ok {
			last = &left
		}
	}
	assert.Assert(t, last != nil)
	assert.DeepEqual(t, *last, WavesLeft{Left: 2, Reasons: map[string]int{leftLongRunning: 1, leftNotUp: 1}})
	for i := range h.s.fleet.waves[1].pending {
		h.s.markBegun(h.s.fleet.waves[1], i)
	}
	h.otherEffects = nil
	h.runFor(2*time.Second, starts, 50)
	var reports []int
	for _, f := range h.otherEffects {
		if left, ok := f.(WavesLeft); ok {
			reports = append(reports, left.Left)
		}
	}
	assert.DeepEqual(t, reports, []int{0})
}
