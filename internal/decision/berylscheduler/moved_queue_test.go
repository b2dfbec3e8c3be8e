package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// deploymentWithPool returns the test's configuration with its queue in the given pool, one of p and p2.
func deploymentWithPool(version int64, pool string) *beryllatch.Deployment {
	d := testDeployment()
	q := d.Queues["q"]
	q.Pool = pool
	d.Version, d.Queues["q"], d.Pools["p2"] = version, q, beryllatch.JobPool{Name: "p2"}
	return d
}

func workerIn(id, pool string) beryllatch.WorkerInfo {
	info := workerInfo(id)
	info.Pool = pool
	return info
}

// registerInPools registers and prepares worker a in pool p and worker b in pool p2, and stores their rows.
func (h *harness) registerInPools(stored storedRows) {
	h.t.Helper()
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerIn("a", "p"), workerIn("b", "p2")}})
	for range 3 {
		h.storeInto(stored)
		h.answerHolds(nil)
		h.tickFor(100 * time.Millisecond)
	}
}

// jobInMovedQueue returns a scheduler whose queue was moved from p to p2 and back, and a job whose second step runs on worker b of p2.
func jobInMovedQueue(t *testing.T) (h *harness, stored storedRows, run StartRun) {
	t.Helper()
	h, stored = newHarness(t), make(storedRows)
	h.apply(DeploymentChanged{deploymentWithPool(2, "p")})
	h.registerInPools(stored)
	h.submit(twoStepJob("0000000000000001"))
	h.storeInto(stored)
	first := h.confirmStarts()
	assert.Equal(t, first[0].Worker.ID, "a")
	h.apply(DeploymentChanged{deploymentWithPool(3, "p2")})
	lists := h.finishedLists(beryllatch.RunDone, first...)
	h.tickFor(time.Second)
	h.answerHolds(lists)
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts), 0, "the new pool is not stored yet")
	h.storeInto(stored)
	h.tickFor(100 * time.Millisecond)
	second := h.confirmStarts()
	assert.Equal(t, second[0].Worker.ID, "b")
	h.apply(DeploymentChanged{deploymentWithPool(4, "p")})
	h.storeInto(stored)
	return h, stored, second[0]
}

// takeOverWithoutAnswer lets another node take over, whose holds worker b doesn't answer for 2 s.
func (h *harness) takeOverWithoutAnswer(stored storedRows) *harness {
	h.t.Helper()
	next := h.takeOverWith(stored, deploymentWithPool(4, "p"))
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerIn("a", "p"), workerIn("b", "p2")}})
	for range 4 {
		next.answerHolds(nil, "b")
		next.storeInto(stored)
		next.tickFor(500 * time.Millisecond)
	}
	return next
}

// Guards against review/8: after a queue was moved and moved back, a node that took over started a task in one pool while it ran in the other.
func TestTakeoverWaitsForAllPoolsOfAJob(t *testing.T) {
	h, stored, run := jobInMovedQueue(t)
	h.submit(singleTaskJob("0000000000000002"))
	h.storeInto(stored)
	other := h.confirmStarts()
	assert.Equal(t, len(other), 1)
	next := h.takeOverWithoutAnswer(stored)
	for _, f := range next.starts {
		assert.Assert(t, f.Order.Task != run.Order.Task, "worker b may still run the task")
	}
	others := next.confirmStarts()
	assert.Equal(t, len(others), 1, "a job that was never in p2 doesn't wait for its workers")
	for range 30 {
		next.answerHolds(runningLists(others, 50), "b")
		next.storeInto(stored)
		next.tickFor(500 * time.Millisecond)
	}
	starts := next.confirmStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task, run.Order.Task, "the task starts once its last lease has expired")
}

// A cancelled job must keep its row, and with it the size of its runs, until all pools are known in which it may have one.
func TestRowOfACancelledJobWaitsForAllPools(t *testing.T) {
	h, stored, run := jobInMovedQueue(t)
	h.lastCall++
	h.apply(CancelRequested{Call: h.lastCall, ID: "0000000000000001"})
	h.storeInto(stored)
	next := h.takeOverWithoutAnswer(stored)
	assert.Equal(t, len(stored.table(JobsTable)), 1)
	next.answerHolds(runningLists([]StartRun{run}, 50))
	assert.Equal(t, len(next.stops), 1)
	assert.Equal(t, next.s.workers["b"].used.CPUMilli, 1000)
}

// A worker that registers in another pool must get no run before its row names that pool: a node that takes over would not wait for it.
func TestWorkerInAnotherPoolNeedsItsRowStored(t *testing.T) {
	h, stored := newHarness(t), make(storedRows)
	h.apply(DeploymentChanged{deploymentWithPool(2, "p2")})
	h.registerInPools(stored)
	h.apply(RegistryChanged{Removed: []string{"b"}})
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerIn("a", "p2")}})
	h.tickFor(5 * time.Second)
	h.commits = h.commits[:0]
	h.s.journal.batches = nil
	assert.Assert(t, !h.s.usable(h.s.workers["a"]))

	next := h.takeOverWith(stored, deploymentWithPool(2, "p2"))
	next.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerIn("a", "p2")}})
	unsynced := next.s.findUnsyncedPools()
	assert.Assert(t, unsynced["p"] && unsynced["p2"], "worker a may have runs of both pools: %v", unsynced)
}
