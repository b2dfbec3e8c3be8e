package berylscheduler

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

func (h *harness) maintainedInstances() []string {
	var out []string
	for _, f := range h.otherEffects {
		if m, ok := f.(MaintainInstance); ok {
			out = append(out, m.Instance)
		}
	}
	return out
}

// storeFor advances the clock by d and stores all transactions meanwhile.
func (h *harness) storeFor(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickFor(100 * time.Millisecond)
		h.storeAll()
	}
}

func (h *harness) openWave(maxDown int, instances ...string) {
	h.t.Helper()
	h.apply(OperationsChanged{beryllatch.Operations{Waves: map[int]beryllatch.MaintenanceWave{
		1: {Number: 1, Instances: instances, Deadline: 20 * time.Second, MaxDown: maxDown},
	}}})
	h.tickFor(100 * time.Millisecond)
	var list []beryllatch.FleetInstance
	for _, i := range instances {
		list = append(list, beryllatch.FleetInstance{
			Name: i, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: strings.TrimPrefix(i, "m-"),
		})
	}
	h.apply(InstancesListed{Instances: list})
}

// After a takeover, a worker that has not listed its runs may run the last task that a step cannot spare, so its instance must
// not be taken.
func TestWaveWaitsForUnsettledWorkers(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	h.storeInto(stored)
	h = h.takeOver(stored)
	h.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	h.answerHolds(nil, "a")
	h.openWave(2, "m-a", "m-b")
	h.storeFor(time.Second)
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-b"})
}

// A wave must never take down more instances than its limit, even if the platform has confirmed the order and still lists the
// instance as up.
func TestWaveKeepsItsLimit(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	h.openWave(1, "m-a", "m-b", "m-c")
	h.storeFor(3 * time.Second)
	assert.Equal(t, len(h.maintainedInstances()), 1)
	h.apply(InstanceOrderEnded{Instance: h.maintainedInstances()[0]})
	h.storeFor(2 * time.Second)
	assert.Equal(t, len(h.maintainedInstances()), 1)
}

// A scheduling node that has been replaced must not send an order that it has prepared while its successor, which doesn't know of it,
// has another instance of the wave down.
func TestReplacedNodeKeepsToTheLimitOfAWave(t *testing.T) {
	for name, lag := range map[string]time.Duration{"with a recent proof": 300 * time.Millisecond, "without one": 0} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b")
			h.accept(singleTaskJob("0000000000000001"))
			starts := h.confirmStarts()
			lists := runningLists(starts, 10)
			on := starts[0].Worker.ID
			other := map[string]string{"a": "b", "b": "a"}[on]
			h.apply(HeartbeatStored{Sent: h.now})
			h.tickFor(200 * time.Millisecond)
			h.answerHolds(lists)
			h.openWave(1, "m-"+on)
			h.tickFor(2 * proofInterval)
			h.answerHolds(lists)
			assert.Equal(t, len(h.s.fleet.orders), 1)
			wave := h.s.fleet.waves[1]
			wave.Instances = append(wave.Instances, "m-"+other)
			wave.pending["m-"+other] = true
			h.peersLag = lag
			h.apply(InstancesListed{Instances: []beryllatch.FleetInstance{
				{Name: "m-" + on, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: on},
				{Name: "m-" + other, Pool: "p", State: beryllatch.FleetInstanceMaintenance},
			}})
			h.tickCutOff(5*time.Second, lists)
			assert.Equal(t, len(h.maintainedInstances()), 0, "ordered while m-%s is down", other)
		})
	}
}

// A node that has taken over must leave the waves alone while the one before may still order instances, and until a list of instances
// from after that shows what it has ordered.
func TestTakeoverLeavesWavesAloneAtFirst(t *testing.T) {
	h := newHarness(t)
	next := h.takeOver(make(storedRows))
	next.s.PredecessorMayAct = true
	next.register("a")
	next.openWave(1, "m-a")
	began := next.s.startedAt
	for next.now.Sub(began) < 3*MaxActingProofAge {
		next.storeFor(100 * time.Millisecond)
		next.answerHolds(nil)
		assert.Equal(t, len(next.maintainedInstances()), 0, "ordered by a list of %s before", next.now.Sub(began))
	}
	next.apply(InstancesListed{Instances: instancesOf("a")})
	next.storeFor(2 * listInterval)
	next.apply(InstancesListed{Instances: instancesOf("a")})
	next.storeFor(time.Second)
	assert.Equal(t, len(next.maintainedInstances()), 1)
}

// A wave must not take down more tasks of a long-running step than may be missing.
func TestWaveKeepsLongRunningTasksAtWork(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker, j.Steps[0].MaxMissing = 2, true, 1, 1
	h.accept(j)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	h.tickFor(time.Second)
	h.answerHolds(runningLists(starts, 100))
	h.openWave(2, "m-a", "m-b")
	h.storeFor(3 * time.Second)
	assert.Equal(t, len(h.maintainedInstances()), 1)
}

// An instance that has just joined may be missing from a list that was read before its wave was seen. The wave must not count
// it as gone.
func TestWaveWaitsForInstancesThatTheListDoesNotShowYet(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.openWave(2, "m-a")
	h.apply(OperationsChanged{beryllatch.Operations{Waves: map[int]beryllatch.MaintenanceWave{
		2: {Number: 2, Instances: []string{"m-new"}, Deadline: 20 * time.Second, MaxDown: 1},
	}}})
	h.tickFor(time.Second)
	for _, f := range h.otherEffects {
		if status, ok := f.(WriteWaveStatus); ok {
			assert.Assert(t, status.Wave != 2 || !status.Done)
		}
	}
}

// After a takeover, instances whose maintenance an earlier node began must not be maintained again.
func TestWaveGoesOnAfterATakeover(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.openWave(1, "m-a", "m-b")
	// This stores when the wave was first seen, and that an order may go out.
	h.storeFor(time.Second)
	first := h.maintainedInstances()
	h.apply(InstanceOrderEnded{Instance: first[0]})
	var rows []beryllatch.DataRow
	for _, c := range h.commits {
		for _, p := range c.Transaction.Puts {
			if p.Table == WavesTable {
				p.Version = 200
				rows = append(rows, p)
			}
		}
	}
	assert.Equal(t, len(rows), 1)
	next := &harness{t: t, now: h.now, version: 300, answers: make(map[uint64]error), s: testScheduler(2, 8)}
	next.apply(Recovered{Waves: rows})
	next.apply(DeploymentChanged{testDeployment()})
	next.register("a", "b")
	next.openWave(2, "m-a", "m-b")
	next.storeFor(3 * time.Second)
	assert.Equal(t, len(next.maintainedInstances()), 1)
	assert.Assert(t, next.maintainedInstances()[0] != first[0])
}

// After a takeover, a worker may still be stopping a task on an order of the previous scheduling node, and lists it as running. No other task
// may be stopped that its step could then not do without.
func TestTakeoverWaitsForStopsOfTheEarlierEpoch(t *testing.T) {
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	h.storeInto(stored)
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker, j.Steps[0].MaxMissing = 2, true, 1, 1
	h.submit(j)
	for range 3 {
		h.storeInto(stored)
		h.answerHolds(nil)
		h.tickFor(100 * time.Millisecond)
	}
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	h.storeInto(stored)

	next := h.takeOver(stored)
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	next.answerHolds(runningLists(starts, 100))
	next.openWave(2, "m-a", "m-b")
	next.storeFor(100 * time.Millisecond)
	assert.DeepEqual(t, next.maintainedInstances(), []string(nil))
	// The task on a was being stopped; the one on b must stay.
	onB := starts[slices.IndexFunc(starts, func(f StartRun) bool { return f.Worker.ID == "b" })]
	for range 10 {
		next.answerHolds(runningLists([]StartRun{onB}, 100))
		next.storeFor(100 * time.Millisecond)
		assert.Assert(t, !slices.Contains(next.maintainedInstances(), "m-b"))
	}
	assert.DeepEqual(t, next.maintainedInstances(), []string{"m-a"})
}

// waveRows returns the stored rows of waves.
func (r storedRows) waveRows() []waveRow {
	var out []waveRow
	for _, row := range r.table(WavesTable) {
		var w waveRow
		if err := json.Unmarshal(row.Value, &w); err != nil {
			panic(err)
		}
		out = append(out, w)
	}
	return out
}

// openStoredWave returns a scheduler with a wave of two instances, of which one may be down, and its stored rows.
func openStoredWave(t *testing.T) (*harness, storedRows) {
	t.Helper()
	h := newHarness(t)
	stored := make(storedRows)
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
	h.storeInto(stored)
	h.answerHolds(nil)
	h.openWave(1, "m-a", "m-b")
	return h, stored
}

// Guards against review/10: an order without an answer was carried out late, when the next scheduling node, which knew nothing of it, had
// another instance of the wave down.
func TestTakeoverCountsMaintenanceThatMayHaveBeenOrdered(t *testing.T) {
	h, stored := openStoredWave(t)
	for range 10 {
		sent := len(h.maintainedInstances()) > 0
		assert.Assert(t, !sent || len(stored.waveRows()[0].Ordered) == 1, "an order goes out before it is on record")
		h.tickFor(100 * time.Millisecond)
		h.storeInto(stored)
	}
	ordered := h.maintainedInstances()
	assert.Equal(t, len(ordered), 1)

	next := h.takeOver(stored)
	infos := []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}
	for i := range infos {
		if infos[i].Instance == ordered[0] {
			infos[i].Labels = []string{"only"}
		}
	}
	next.apply(RegistryRead{Workers: infos})
	next.answerHolds(nil)
	// The instance has work to lose now, so that the other one would be taken first.
	j := singleTaskJob("0000000000000001")
	j.Steps[0].RequiredLabel = "only"
	next.submit(j)
	for range 5 {
		next.storeInto(stored)
		next.tickFor(100 * time.Millisecond)
		next.answerHolds(nil)
	}
	running := next.confirmStarts()
	assert.Equal(t, len(running), 1)
	next.openWave(1, "m-a", "m-b")
	for range 20 {
		next.tickFor(500 * time.Millisecond)
		next.storeInto(stored)
		next.answerHolds(runningLists(running, 50))
	}
	assert.DeepEqual(t, slices.Compact(next.maintainedInstances()), ordered)
	next.apply(InstanceOrderEnded{Instance: ordered[0]})
	next.storeInto(stored)
	next.tickFor(100 * time.Millisecond)
	next.storeInto(stored)
	assert.Equal(t, len(stored.waveRows()[0].Ordered), 0)
	assert.DeepEqual(t, stored.waveRows()[0].Begun, ordered)
}

// An order that certainly had no effect must not keep its place in the wave.
func TestRejectedMaintenanceLeavesNoRecord(t *testing.T) {
	h, stored := openStoredWave(t)
	for range 3 {
		h.tickFor(100 * time.Millisecond)
		h.storeInto(stored)
	}
	assert.Equal(t, len(stored.waveRows()[0].Ordered), 1)
	h.apply(InstanceOrderEnded{Instance: h.maintainedInstances()[0], Err: &beryllatch.InstanceRejectedError{Reason: beryllatch.InstanceBusy}})
	h.storeInto(stored)
	assert.Equal(t, len(stored.waveRows()[0].Ordered), 0)
}
