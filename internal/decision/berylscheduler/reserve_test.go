package berylscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// In a pool that small tasks keep full, the room that one of them leaves would always go to the next one. A long-running task
// that needs the room of two must still start.
func TestLongRunningTaskGetsRoomInAFullPool(t *testing.T) {
	h := newHarness(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 1000}
	h.apply(DeploymentChanged{d})
	h.register("a", "b")
	submitted := 0
	small := func() {
		submitted++
		j := singleTaskJob(fmt.Sprintf("%016x", submitted))
		j.Steps[0].Needs.CPUMilli, j.Steps[0].Estimate = 2000, 10*time.Second
		h.accept(j)
	}
	for range 24 {
		small()
	}
	running := h.confirmStarts()
	longRunning := singleTaskJob("00000000000000ff")
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Needs.CPUMilli = true, 4000
	h.accept(longRunning)
	number := int64(0)
	for range 40 {
		h.tickFor(100 * time.Millisecond)
		first := running[0]
		running = running[1:]
		number++
		h.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
			{Number: number, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
		}}})
		small()
		h.tickFor(100 * time.Millisecond)
		started := h.confirmStarts()
		if slices.ContainsFunc(started, func(f StartRun) bool { return f.Order.Task == "00000000000000ff.0.0.0" }) {
			return
		}
		running = append(running, started...)
	}
	t.Fatal("the long-running task has not started")
}

// labelledWorker returns a worker with the given label, and its instance.
func labelledWorker(id, pool, label string) (beryllatch.WorkerInfo, beryllatch.FleetInstance) {
	info := workerInfo(id)
	info.Pool, info.Labels = pool, []string{label, "r1"}
	return info, beryllatch.FleetInstance{
		Name: info.Instance, Pool: pool, State: beryllatch.FleetInstanceUp, Worker: id, Labels: info.Labels, Capacity: info.Capacity,
	}
}

// A long-running task stays on a draining worker until another worker has the label that it requires. An instance with the
// label is moved into the pool for it.
func TestTaskStaysUntilAnInstanceWithItsLabelComes(t *testing.T) {
	h := newHarness(t)
	a, ia := labelledWorker("a", "p", "big")
	b, ib := labelledWorker("b", "p", "small")
	_, spare := labelledWorker("s", "spare", "big")
	spare.Worker = ""
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a, b}})
	h.storeAll()
	h.answerHolds(nil)
	h.apply(InstancesListed{Instances: []beryllatch.FleetInstance{ia, ib, spare}})
	j := singleTaskJob("0000000000000001")
	j.Steps[0].LongRunning, j.Steps[0].RequiredLabel, j.Steps[0].MaxMissing = true, "big", 1
	h.accept(j)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.answerHolds(runningLists(starts, 100))
	a.Draining = true
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a}})
	h.tickFor(time.Second)
	assert.Equal(t, len(h.stops), 0, "nothing else can run the task")
	moved := ""
	for _, f := range h.otherEffects {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" && m.Instance == spare.Name {
			moved = m.Instance
		}
	}
	assert.Equal(t, moved, spare.Name)
	c, _ := labelledWorker("c", "p", "big")
	c.Instance = spare.Name
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{c}})
	h.storeAll()
	h.answerHolds(runningLists(starts, 100))
	h.tickFor(time.Second)
	assert.Equal(t, len(h.stops), 1)
}
