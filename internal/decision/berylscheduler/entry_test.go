package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// An odd entry among the registrations must not do harm to the workers beside it: their runs go on and start nowhere else (TWICE), and
// the workers stay in use (LOST).
func TestOddEntryDoesNoHarmToOtherWorkers(t *testing.T) {
	late := restartedInfo(1 << 60)
	elsewhere := workerInfo("a")
	elsewhere.Instance = "m-b"
	sameInstance := workerInfo("odd")
	sameInstance.Instance, sameInstance.Incarnation = "m-a", 1<<60
	sameAddress := workerInfo("odd")
	for name, odd := range map[string]beryllatch.WorkerInfo{
		"on the same instance, started later": sameInstance,
		"at the same address":                 sameAddress,
		"under the same ID, started later":    late,
		"under the same ID, elsewhere":        elsewhere,
	} {
		for _, fullRead := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", by the feed", true: ", by a full read"}[fullRead], func(t *testing.T) {
				h := newHarness(t)
				h.register("a", "b")
				h.apply(InstancesListed{Instances: instancesOf("a", "b")})
				j := singleTaskJob("0000000000000001")
				j.Steps[0].Count, j.Steps[0].MaxPerWorker = 2, 1
				h.accept(j)
				starts := h.confirmStarts()
				assert.Equal(t, len(starts), 2)
				if fullRead {
					h.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b"), odd}})
				} else {
					h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{odd}})
				}
				for range 15 {
					h.tickFor(100 * time.Millisecond)
					h.answerHolds(runningLists(starts, 50), "odd")
					h.apply(InstancesListed{Instances: instancesOf("a", "b")})
				}
				h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a"), workerInfo("b")}})
				for range 15 {
					h.tickFor(100 * time.Millisecond)
					h.answerHolds(runningLists(starts, 50), "odd")
				}
				assert.Equal(t, len(h.starts), 0)
				for _, id := range []string{"a", "b"} {
					w := h.s.workers[id]
					assert.Assert(t, w != nil && len(w.runs) == 1 && h.s.usable(w), "worker %s: %+v", id, w)
					assert.Equal(t, h.s.workerOn("m-"+id), w)
				}
			})
		}
	}
}

// A list of instances that was requested before a worker was back must not end the runs of its new incarnation (TWICE).
func TestOlderListOfInstancesEndsNoNewRuns(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.apply(InstancesListed{Instances: instancesOf("a")})
	h.tickFor(time.Second)
	down := instancesOf("a")
	down[0].State = beryllatch.FleetInstanceDown
	h.accept(singleTaskJob("0000000000000001"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.register("b")
	h.apply(InstancesListed{Instances: down})
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{restartedInfo(2)}})
	for range 10 {
		h.tickFor(100 * time.Millisecond)
		holds := h.holds
		h.holds = nil
		for _, f := range holds {
			e := WorkerHeld{Worker: f.Worker.ID, Fence: f.Order.Fence, Acknowledge: f.Order.Acknowledge, Sent: f.sent}
			e.Lists.Incarnation, e.Lists.Clock = f.incarnation, time.Second
			if f.Worker.ID == "a" {
				e.Lists.Incarnation, e.Lists.Running = 2, runningLists(starts, 50)["a"].Running
			}
			h.apply(e)
		}
	}
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, len(h.s.workers["a"].runs), 1)
}

// A run whose start order may be under way must stay booked when its worker is listed as ended: the order may reach the next incarnation.
func TestListOfInstancesKeepsStartsUnderWay(t *testing.T) {
	for name, stopped := range map[string]bool{"starting": false, "being stopped": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.apply(InstancesListed{Instances: instancesOf("a")})
			h.accept(singleTaskJob("0000000000000001"))
			if stopped {
				h.lastCall++
				h.apply(CancelRequested{Call: h.lastCall, ID: "0000000000000001"})
			}
			h.tickFor(time.Second)
			down := instancesOf("a")
			down[0].State = beryllatch.FleetInstanceDown
			h.apply(InstancesListed{Instances: down})
			assert.Equal(t, len(h.s.workers["a"].runs), 1)
			h.tickFor(2 * expiryBound(h.s.Limits.MaxLease))
			h.answerHolds(nil, "a")
			h.tickFor(time.Second)
			assert.Assert(t, h.s.workers["a"] == nil, "the lease has expired")
		})
	}
}
