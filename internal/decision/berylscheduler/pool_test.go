package berylscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// Queues burst in turn, and a few large jobs look like a burst. While instances are scarce, the work that such a burst may
// bring must not take instances that another pool needs now.
func TestScarceInstancesGoToWhatIsNeeded(t *testing.T) {
	const instanceCPU = 10000.0
	for name, c := range map[string]struct {
		// supply counts the instances of both pools together, spare those on standby.
		supply, spare          int
		neededCPU, arrivingCPU [2]int
		longTerm               map[string]int
		atLeast, atMost        [2]int
	}{
		"enough for both":             {10, 90, [2]int{100_000, 50_000}, [2]int{300_000, 50_000}, nil, [2]int{31, 6}, [2]int{31, 6}},
		"scarce":                      {10, 30, [2]int{100_000, 100_000}, [2]int{900_000, 100_000}, nil, [2]int{11, 11}, [2]int{24, 11}},
		"less than what is needed":    {10, 5, [2]int{100_000, 100_000}, [2]int{900_000, 100_000}, nil, [2]int{11, 11}, [2]int{11, 11}},
		"a burst that has lasted":     {10, 30, [2]int{50_000, 50_000}, [2]int{900_000, 50_000}, map[string]int{"a": 200_000}, [2]int{21, 6}, [2]int{30, 6}},
		"nothing needed, or arriving": {10, 30, [2]int{}, [2]int{}, nil, [2]int{poolReserve, poolReserve}, [2]int{poolReserve, poolReserve}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testScheduler(1, 1)
			s.now = time.Unix(1_800_000_000, 0)
			spare := &poolDemand{name: "spare", standby: true}
			for n := range c.spare {
				spare.idleInstances = append(spare.idleInstances, fmt.Sprint(n))
			}
			pools := []*poolDemand{
				{name: "a", supply: c.supply / 2, neededCPU: c.neededCPU[0], arrivingCPU: c.arrivingCPU[0]},
				{name: "b", supply: c.supply / 2, neededCPU: c.neededCPU[1], arrivingCPU: c.arrivingCPU[1]},
				spare,
			}
			s.setTargets(pools, c.longTerm, instanceCPU)
			for i, p := range pools[:2] {
				assert.Check(t, p.target >= c.atLeast[i] && p.target <= c.atMost[i], "the target of pool %s is %d", p.name, p.target)
			}
		})
	}
}

// Guards against rimwise-large trouble-3 of issue 39: a worker crashed while a start order to it was in flight, and no instance was moved until
// its longest lease had run out.
func TestCrashedWorkerHoldsUpNoMoves(t *testing.T) {
	h := newHarness(t)
	h.s.Limits.InstanceOrders = 50
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.starts), 1)
	crashed := h.starts[0].Worker.ID
	h.tickFor(100 * time.Millisecond)
	list := instancesOf("a", "b")
	for i := range list {
		list[i].Capacity = workerInfo("a").Capacity
		if list[i].Worker == crashed {
			list[i].State = beryllatch.FleetInstanceDown
		}
	}
	spare := list[0]
	spare.Name, spare.Pool, spare.Worker, spare.State = "m-spare", "spare", "", beryllatch.FleetInstanceUp
	h.apply(InstancesListed{Instances: append(list, spare)})
	assert.Assert(t, !h.s.workers[crashed].synced, "the order may reach the next incarnation")
	h.tickFor(200 * time.Millisecond)
	assert.Assert(t, slices.ContainsFunc(h.otherEffects, func(f Effect) bool { _, ok := f.(MoveInstance); return ok }))
}

// The platform rejects instance orders beyond its limit per second, so moves must stay below it, and should use their share of
// it.
func TestMovesKeepToTheRateOfOrders(t *testing.T) {
	const rate = 50.0
	var b orderBudget
	now := time.Unix(1_800_000_000, 0)
	taken := 0
	for range 100 {
		b.refill(now, rate)
		for b.allowsOrder() {
			b.takeOrder()
			taken++
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, taken <= int(10.5*rate), "%d orders in 10 s", taken)
	assert.Assert(t, taken >= int(10*rate*moveOrderShare)-1)
}
