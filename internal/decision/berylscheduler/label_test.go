package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// labelledFleet returns a scheduler with idle instances in the pool "other", of which every third has the label, and the demands of
// that pool and of the pool "p".
func labelledFleet(t *testing.T, instances int, label string) (*Scheduler, *poolDemand, *poolDemand) {
	t.Helper()
	s := testScheduler(1, 1)
	s.now = time.Unix(1_800_000_000, 0)
	s.start()
	s.deployment = testDeployment()
	s.fleet.instances = make(map[string]beryllatch.FleetInstance)
	s.fleet.budget.available = 100
	other := &poolDemand{name: "other", supply: instances, target: 2 * instances, minimum: 2 * instances}
	for n := range instances {
		i := beryllatch.FleetInstance{
			Name: fmt.Sprintf("m-%02d", n), Pool: "other", State: beryllatch.FleetInstanceUp, Capacity: beryllatch.Resources{CPUMilli: 16000},
		}
		if n%3 == 0 {
			i.Labels = []string{label}
		}
		s.fleet.instances[i.Name] = i
		info := workerInfo(fmt.Sprintf("%02d", n))
		info.Pool = "other"
		s.addWorker(&worker{incarnation: incarnation{synced: true}, info: info, registered: true, idleSince: s.now})
		other.idleInstances = append(other.idleInstances, i.Name)
	}
	return s, other, &poolDemand{name: "p", target: 20, minimum: 20, instanceCPU: 16000}
}

func labelled(s *Scheduler, label string) (with, without int) {
	for name := range s.fleet.orders {
		if len(s.fleet.instances[name].Labels) > 0 && s.fleet.instances[name].Labels[0] == label {
			with++
		} else {
			without++
		}
	}
	return with, without
}

// Waiting tasks that require a label need instances with it. Other instances would stay idle beside them, and they must not be
// taken from pools that may use them.
func TestPoolGetsTheLabelsThatItsTasksRequire(t *testing.T) {
	s, other, p := labelledFleet(t, 30, "fast")
	p.labelShortage = map[string]int{"fast": 20 * 16000}
	s.now = s.now.Add(standbyDelay)
	s.fillPool([]*poolDemand{p, other}, p)
	with, without := labelled(s, "fast")
	assert.Equal(t, with, 10, "all that there are")
	assert.Equal(t, without, 0, "they would not help")
}

// A pool that lacks capacity for labelled and for other tasks gets both kinds of instances.
func TestPoolGetsInstancesForOtherTasksToo(t *testing.T) {
	s, other, p := labelledFleet(t, 30, "fast")
	p.labelShortage = map[string]int{"fast": 4 * 16000}
	s.now = s.now.Add(standbyDelay)
	s.fillPool([]*poolDemand{p, other}, p)
	with, without := labelled(s, "fast")
	assert.Assert(t, with >= 4)
	assert.Equal(t, with+without, 20)
}

// An instance is unsuitable for its pool only if it has been idle for some time; a pool that has just become empty keeps them.
func TestIdleInstancesStayWhereTheyAreNeeded(t *testing.T) {
	s, other, p := labelledFleet(t, 30, "fast")
	s.fillPool([]*poolDemand{p, other}, p)
	assert.Equal(t, len(s.fleet.orders), 0)
	s.now = s.now.Add(standbyDelay)
	s.fillPool([]*poolDemand{p, other}, p)
	assert.Equal(t, len(s.fleet.orders), 20)
}
