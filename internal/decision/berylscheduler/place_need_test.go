package berylscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// moves returns the instances that were ordered to move into the pool "p".
func (h *harness) moves() []string {
	var out []string
	for _, f := range h.otherEffects {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" && !slices.Contains(out, m.Instance) {
			out = append(out, m.Instance)
		}
	}
	return out
}

// holdTicks answers all holds, with the given runs as running, while the clock advances.
func (h *harness) holdTicks(d time.Duration, starts []StartRun) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickFor(200 * time.Millisecond)
		h.storeAll()
		h.answerHolds(runningLists(starts, 100))
	}
}

// Tasks that no worker of their pool can take, although most of its capacity is free, need another instance: they would wait for ever
// beside idle instances.
func TestTasksThatNoWorkerCanTakeGetAnInstance(t *testing.T) {
	const workers = 4
	longRunning := beryllatch.JobStep{
		Count: workers, Needs: beryllatch.Resources{CPUMilli: 1000, MemoryMB: 100}, Estimate: time.Second, LongRunning: true, MaxPerWorker: 1,
	}
	wide := beryllatch.JobStep{Count: 1, Needs: beryllatch.Resources{CPUMilli: 15500, MemoryMB: 100}, Estimate: time.Second}
	gang := beryllatch.JobStep{
		Count: workers + 2, Needs: beryllatch.Resources{CPUMilli: 500, MemoryMB: 100}, Estimate: time.Second, Gang: true, MaxPerWorker: 1,
	}
	for name, c := range map[string]struct {
		// then is a step that arrives when the long-running one is at work; a count of 0 is none.
		then beryllatch.JobStep
		// drains is true if a worker of the long-running step is to be emptied.
		drains bool
		want   int
	}{
		"a worker is to be emptied":            {drains: true, want: 1},
		"a task beside long-running ones":      {then: wide, want: 1},
		"a gang with more members than places": {then: gang, want: 2},
		"nothing waits":                        {want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var ids []string
			var instances []beryllatch.FleetInstance
			for n := range workers {
				ids = append(ids, fmt.Sprint(n))
				_, i := labelledWorker(ids[n], "p", "a")
				instances = append(instances, i)
			}
			for n := range 5 {
				_, i := labelledWorker(fmt.Sprintf("s%d", n), "spare", "a")
				i.Worker = ""
				instances = append(instances, i)
			}
			h.register(ids...)
			h.apply(InstancesListed{Instances: instances})
			h.accept(beryllatch.Job{ID: "0000000000000001", Steps: []beryllatch.JobStep{longRunning}})
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), workers)
			h.holdTicks(2*time.Second, starts)
			assert.Equal(t, len(h.moves()), 0)
			if c.drains {
				info := workerInfo(ids[0])
				info.Draining = true
				h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
			}
			if c.then.Count > 0 {
				h.accept(beryllatch.Job{ID: "0000000000000002", Steps: []beryllatch.JobStep{c.then}})
			}
			h.holdTicks(3*time.Second, starts)
			assert.Equal(t, len(h.moves()), c.want, "%v", h.moves())
		})
	}
}

// When a worker is lost, the task that it ran needs another instance if each worker that is left already runs one of its step.
func TestTaskOfALostWorkerGetsAnInstance(t *testing.T) {
	h := newHarness(t)
	ids := []string{"0", "1", "2", "3", "4"}
	var instances []beryllatch.FleetInstance
	for _, id := range ids {
		_, i := labelledWorker(id, "p", "a")
		instances = append(instances, i)
	}
	_, spare := labelledWorker("s", "spare", "a")
	spare.Worker = ""
	h.register(ids...)
	h.apply(InstancesListed{Instances: append(instances, spare)})
	h.accept(beryllatch.Job{ID: "0000000000000001", Steps: []beryllatch.JobStep{{
		Count: len(ids), Needs: beryllatch.Resources{CPUMilli: 1000, MemoryMB: 100}, LongRunning: true, MaxPerWorker: 1,
	}}})
	starts := h.confirmStarts()
	for range 80 {
		h.tickFor(200 * time.Millisecond)
		h.storeAll()
		h.answerHolds(runningLists(starts, 100), ids[4])
	}
	assert.DeepEqual(t, h.moves(), []string{spare.Name})
}

// A task that fits on no instance must not keep another step of its pool from getting one.
func TestTaskThatFitsNowhereHidesNoOtherNeed(t *testing.T) {
	h := newHarness(t)
	ids := []string{"0", "1", "2", "3", "4"}
	var instances []beryllatch.FleetInstance
	for _, id := range ids {
		_, i := labelledWorker(id, "p", "a")
		instances = append(instances, i)
	}
	_, spare := labelledWorker("s", "spare", "a")
	spare.Worker = ""
	h.register(ids...)
	h.apply(InstancesListed{Instances: append(instances, spare)})
	h.accept(beryllatch.Job{ID: "0000000000000001", Steps: []beryllatch.JobStep{{
		Count: 1, Needs: beryllatch.Resources{CPUMilli: 18000, MemoryMB: 100}, Estimate: time.Second,
	}}})
	h.accept(beryllatch.Job{ID: "0000000000000002", Steps: []beryllatch.JobStep{{
		Count: len(ids) + 1, Needs: beryllatch.Resources{CPUMilli: 100, MemoryMB: 100}, LongRunning: true, MaxPerWorker: 1,
	}}})
	h.holdTicks(3*time.Second, h.confirmStarts())
	assert.DeepEqual(t, h.moves(), []string{spare.Name})
}
