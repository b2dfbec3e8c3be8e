package berylscheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// overloadedHarness returns a scheduler whose only pool has accepted work for a minute, as of the last tick.
func overloadedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.register("a")
	h.tickFor(100 * time.Millisecond)
	h.s.usableRates = map[string]float64{"p": 1000}
	h.s.backlogs = map[string]poolBacklog{"p": {inTime: 60_000, inShare: 60_000}}
	return h
}

// refused submits a job and reports whether it is refused.
func (h *harness) refused(j beryllatch.Job) bool {
	h.submit(j)
	return h.answers[h.lastCall] != nil
}

// Guards against later occurrences of a repeated job that count as late when they become due, because an earlier submission was refused.
func TestTargetOfAnOccurrenceCountsFromItsDueTime(t *testing.T) {
	h := newHarness(t)
	j := singleTaskJob("0000000000000001")
	j.Repeat, j.First, j.Interval = 3, h.now.Add(time.Minute), time.Minute
	h.s.admission.remember(j.ID, h.now)
	h.accept(j)
	st := h.s.jobs[j.ID].step(stepKey{1, 0}, h.now)
	assert.Assert(t, h.s.timing(st).startBy.After(j.First.Add(j.Interval)))
}

// Guards against the refusal of a job whose tasks need no reserved capacity, and so don't wait behind the backlog.
func TestFillerIsNotRefusedForLoad(t *testing.T) {
	h := overloadedHarness(t)
	assert.Assert(t, h.refused(singleTaskJob("0000000000000001")))
	j := singleTaskJob("0000000000000002")
	j.Steps[0].Filler = true
	assert.Assert(t, !h.refused(j))
}

// Guards against refusals by estimates from before a pause of the process: the backlog may be done, and the load over.
func TestOldEstimatesRefuseNothing(t *testing.T) {
	h := overloadedHarness(t)
	h.now = h.now.Add(2 * time.Second)
	assert.Assert(t, !h.refused(singleTaskJob("0000000000000001")))
}

// Guards against a load that consists of jobs which can never be accepted, and against memory of refusals where nothing uses it.
func TestOnlyRefusalsThatMayReturnAreRecorded(t *testing.T) {
	h := newHarness(t)
	j := singleTaskJob("0000000000000001")
	j.Payload = strings.Repeat("x", h.s.Limits.RowBytes)
	assert.Assert(t, h.refused(j))
	assert.Equal(t, len(h.s.fleet.refused), 0)
	assert.Equal(t, len(h.s.admission.refused), 0)
	d := testDeployment()
	d.Teams = map[string]beryllatch.JobTeam{"team": {Name: "team"}}
	delete(d.Queues, "q")
	h.apply(DeploymentChanged{d})
	assert.Assert(t, h.refused(singleTaskJob("0000000000000002")))
	assert.Equal(t, len(h.s.admission.refused), 0)
}

// Guards against shares of a capacity that no worker can provide: that of data centres which are being evacuated, and of workers that
// don't answer.
func TestFleetCapacityLeavesOutUnusableInstances(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	want := h.s.workers["a"].info.Capacity
	h.s.workers["b"].failedHolds = 1
	h.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc2": true}}})
	h.s.workers["c"].info.DataCentre = "dc2"
	assert.DeepEqual(t, h.s.fleetCapacity(), want)
	var list []beryllatch.FleetInstance
	for _, w := range h.s.sortedWorkers {
		list = append(list, beryllatch.FleetInstance{
			Name: w.info.Instance, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: w.info.ID, Capacity: want, DataCentre: w.info.DataCentre,
		})
	}
	h.apply(InstancesListed{Instances: list})
	assert.DeepEqual(t, h.s.fleetCapacity(), want)
}

// Guards against a team that is exempt from shares once the configuration drops it, while its accepted jobs still wait.
func TestRemovedTeamKeepsItsWeight(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	d := testDeployment()
	d.Teams["other"] = beryllatch.JobTeam{Name: "other", Weight: 1}
	h.apply(DeploymentChanged{d})
	for _, team := range []string{"team", "other"} {
		j := singleTaskJob(fmt.Sprintf("%016x", len(team)))
		j.Queue, j.Team, j.Steps[0].Count = "q", team, 40
		h.apply(JobSubmitted{Call: uint64(len(team)), Job: j})
	}
	h.storeAll()
	d = testDeployment()
	delete(d.Teams, "team")
	d.Teams["other"] = beryllatch.JobTeam{Name: "other", Weight: 1}
	d.Version++
	h.apply(DeploymentChanged{d})
	h.tickFor(100 * time.Millisecond)
	assert.Assert(t, h.s.team("team").aboveShare)
}

// Guards against a pool that gets no instance while the others need many times what there is: its accepted jobs would wait for as long.
func TestEachPoolGetsItsReserveWhenInstancesAreScarce(t *testing.T) {
	for _, needs := range [][]int{{4000, 3, 0}, {4000, 20, 3}, {9, 9, 9}} {
		out := divideInstances(350, needs, needs)
		for i, n := range needs {
			assert.Assert(t, out[i] >= min(n, poolReserve), "%v: %v", needs, out)
		}
		assert.Assert(t, out[0]+out[1]+out[2] <= 350, "%v: %v", needs, out)
	}
}

// Guards against a load that counts callers twice who return after a refusal: the next ones would be refused by it.
func TestReturningJobCountsOnceInTheOfferedWork(t *testing.T) {
	h := newHarness(t)
	j := singleTaskJob("0000000000000001")
	j.Queue, j.Team = "q", "team"
	h.s.recordRefused(&j, h.s.notStoredRefusal(&j))
	want := h.s.offeredCPU()["p"]
	assert.Assert(t, want > 0)
	h.now = h.now.Add(time.Second)
	h.accept(j)
	assert.Equal(t, h.s.offeredCPU()["p"], want)
}

// Guards against callers that were refused in a long outage and are refused for as long as they return, although the pool is idle.
func TestCallerThatReturnsLateIsServedByAnIdlePool(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickFor(100 * time.Millisecond)
	j := singleTaskJob("0000000000000001")
	h.s.admission.remember(j.ID, h.now.Add(-15*time.Second))
	assert.Assert(t, !h.refused(j))
	h.s.backlogs = map[string]poolBacklog{"p": {inTime: 60_000, inShare: 60_000}}
	late := singleTaskJob("0000000000000002")
	h.s.admission.remember(late.ID, h.now.Add(-15*time.Second))
	assert.Assert(t, h.refused(late))
}
