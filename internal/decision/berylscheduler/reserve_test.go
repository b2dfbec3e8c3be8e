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
	w := newHarness(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 1000}
	w.apply(DeploymentChanged{d})
	w.register("a", "b")
	submitted := 0
	small := func() {
		submitted++
		j := singleTaskJob(fmt.Sprintf("%016x", submitted))
		j.Steps[0].Needs.CPUMilli, j.Steps[0].Estimate = 2000, 10*time.Second
		w.accept(j)
	}
	for range 24 {
		small()
	}
	running := w.confirmStarts()
	longRunning := singleTaskJob("00000000000000ff")
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Needs.CPUMilli = true, 4000
	w.accept(longRunning)
	number := int64(0)
	for range 40 {
		w.tickFor(100 * time.Millisecond)
		first := running[0]
		running = running[1:]
		number++
		w.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
			{Number: number, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
		}}})
		small()
		w.tickFor(100 * time.Millisecond)
		started := w.confirmStarts()
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
	w := newHarness(t)
	a, ia := labelledWorker("a", "p", "big")
	b, ib := labelledWorker("b", "p", "small")
	_, spare := labelledWorker("s", "spare", "big")
	spare.Worker = ""
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a, b}})
	w.storeAll()
	w.answerHolds(nil)
	w.apply(InstancesListed{Instances: []beryllatch.FleetInstance{ia, ib, spare}})
	j := singleTaskJob("0000000000000001")
	j.Steps[0].LongRunning, j.Steps[0].RequiredLabel, j.Steps[0].MaxMissing = true, "big", 1
	w.accept(j)
	starts := w.confirmStarts()
	assert.Equal(t, len(starts), 1)
	w.answerHolds(runningLists(starts, 100))
	a.Draining = true
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a}})
	w.tickFor(time.Second)
	assert.Equal(t, len(w.stops), 0, "nothing else can run the task")
	moved := ""
	for _, f := range w.otherEffects {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" && m.Instance == spare.Name {
			moved = m.Instance
		}
	}
	assert.Equal(t, moved, spare.Name)
	c, _ := labelledWorker("c", "p", "big")
	c.Instance = spare.Name
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{c}})
	w.storeAll()
	w.answerHolds(runningLists(starts, 100))
	w.tickFor(time.Second)
	assert.Equal(t, len(w.stops), 1)
}
