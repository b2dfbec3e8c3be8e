package berylscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// In a pool that small tasks keep full, the room that one of them leaves goes to the next one: a long-running task that needs
// the room of two must get a worker in the end.
func TestLongRunningTaskGetsRoomInAFullPool(t *testing.T) {
	w := newWorld(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 1000}
	w.apply(DeploymentChanged{d})
	w.register("a", "b")
	jobs := 0
	small := func() {
		jobs++
		j := oneTask(fmt.Sprintf("%016x", jobs))
		j.Steps[0].Needs.CPUMilli, j.Steps[0].Estimate = 2000, 10*time.Second
		w.accept(j)
	}
	for range 24 {
		small()
	}
	running := w.confirm()
	lasting := oneTask("00000000000000ff")
	lasting.Steps[0].LongRunning, lasting.Steps[0].Needs.CPUMilli = true, 4000
	w.accept(lasting)
	end := int64(0)
	for range 40 {
		w.pass(100 * time.Millisecond)
		first := running[0]
		running = running[1:]
		end++
		w.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
			{Number: end, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
		}}})
		small()
		w.pass(100 * time.Millisecond)
		started := w.confirm()
		if slices.ContainsFunc(started, func(f StartRun) bool { return f.Order.Task == "00000000000000ff.0.0.0" }) {
			return
		}
		running = append(running, started...)
	}
	t.Fatal("the long-running task has not started")
}

// labelled returns a worker of another kind, with its instance.
func labelled(id, pool, label string) (beryllatch.WorkerInfo, beryllatch.FleetInstance) {
	info := workerInfo(id)
	info.Pool, info.Labels = pool, []string{label, "r1"}
	return info, beryllatch.FleetInstance{
		Name: info.Instance, Pool: pool, State: beryllatch.FleetInstanceUp, Worker: id, Labels: info.Labels, Capacity: info.Capacity,
	}
}

// A draining worker keeps a long-running task until another worker can take it, and an instance with the label that it requires
// is brought into the pool.
func TestTaskStaysUntilAnInstanceWithItsLabelComes(t *testing.T) {
	w := newWorld(t)
	a, ia := labelled("a", "p", "big")
	b, ib := labelled("b", "p", "small")
	_, spare := labelled("s", "spare", "big")
	spare.Worker = ""
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a, b}})
	w.store()
	w.answerHolds(nil)
	w.apply(InstancesListed{Instances: []beryllatch.FleetInstance{ia, ib, spare}})
	j := oneTask("0000000000000001")
	j.Steps[0].LongRunning, j.Steps[0].RequiredLabel, j.Steps[0].MaxMissing = true, "big", 1
	w.accept(j)
	starts := w.confirm()
	assert.Equal(t, len(starts), 1)
	w.answerHolds(running(starts, 100))
	a.Draining = true
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{a}})
	w.pass(time.Second)
	assert.Equal(t, len(w.stops), 0, "nothing else can run the task")
	moved := ""
	for _, f := range w.others {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" && m.Instance == spare.Name {
			moved = m.Instance
		}
	}
	assert.Equal(t, moved, spare.Name)
	c, _ := labelled("c", "p", "big")
	c.Instance = spare.Name
	w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{c}})
	w.store()
	w.answerHolds(running(starts, 100))
	w.pass(time.Second)
	assert.Equal(t, len(w.stops), 1)
}
