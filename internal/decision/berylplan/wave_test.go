package berylplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// designFleet returns a fleet of the design size: 630 instances of 23 services in 6 data centres, with budgets of 2.
func designFleet() beryllatch.Config {
	c := beryllatch.Config{Version: 1}
	for n := range 23 {
		name := fmt.Sprintf("s%02d", n)
		c = c.WithService(beryllatch.Service{Name: name, MaxUnavailable: 2}).
			WithPool(beryllatch.Pool{Name: name, Service: name})
	}
	for n := range 6 {
		c = c.WithDataCentre(beryllatch.DataCentre{Name: fmt.Sprintf("dc%d", n)})
	}
	for n := range 630 {
		c = c.WithInstance(beryllatch.Instance{
			ID: fmt.Sprintf("w%03d", n), Pool: fmt.Sprintf("s%02d", n%23), DataCentre: fmt.Sprintf("dc%d", n/105),
			Rack: fmt.Sprintf("r%02d", n/4%27), Address: fmt.Sprintf("127.0.0.1:%d", 10000+n), Slots: 8, Connections: 64,
			State: beryllatch.InstanceActive,
		})
	}
	return c
}

// TestWaveAtDesignSize guards against a wave that takes longer than 7 weeks or than its estimate, and against a wave in two
// racks of a service or two data centres at the same time.
func TestWaveAtDesignSize(t *testing.T) {
	c := designFleet()
	w := beryllatch.Wave{ID: "winter", Services: beryllatch.SortedKeys(c.Services)}
	c, err := Apply(c, AllLive(c, "b0"), StartWave{Wave: w})
	if err != nil {
		t.Fatal(err)
	}
	// The estimate must hold even if a drain and reboot takes half an hour instead of the usual minute.
	estimate := WaveProgress(c, c.Waves["winter"], 30*time.Minute).Left
	if estimate <= 0 || estimate > 7*7*24*time.Hour {
		t.Fatalf("estimate is %s", estimate)
	}
	h, rounds := AllLive(c, "b0"), 0
	for c.Waves["winter"].State == beryllatch.WaveRunning {
		_, c = NextSteps(c, h)
		checkOneRack(t, c)
		_, c = NextSteps(c, h)
		for id, i := range c.Instances {
			if i.State == beryllatch.InstanceRebooting {
				h[id] = InstanceHealth{Live: true, Idle: true, BootID: "b1"}
			}
		}
		if rounds++; time.Duration(rounds) > estimate/(30*time.Minute)+1 {
			t.Fatalf("%d rounds, %s estimated", rounds, estimate)
		}
	}
	if done := len(c.Waves["winter"].Done); done != 630 {
		t.Errorf("%d instances done", done)
	}
}

// checkOneRack fails the test if the wave has instances under way in two data centres, or in two racks of a service.
func checkOneRack(t *testing.T, c beryllatch.Config) {
	t.Helper()
	racks, dc := map[string]string{}, ""
	for id, i := range c.Instances {
		if i.Wave == "" {
			continue
		}
		if dc != "" && dc != i.DataCentre {
			t.Fatalf("%s is under way in %s while other instances are under way in %s", id, i.DataCentre, dc)
		}
		dc = i.DataCentre
		if r, ok := racks[i.Pool]; ok && r != i.Rack {
			t.Fatalf("service %s is under way in racks %s and %s", i.Pool, r, i.Rack)
		}
		racks[i.Pool] = i.Rack
	}
}

// TestErrorTypes guards against refusals whose error type does not tell callers the reason.
func TestErrorTypes(t *testing.T) {
	c := fleet(1)
	drained, err := Apply(c, AllLive(c, "b0"), MoveInstance{ID: "w4", Pool: "lacing"})
	if err != nil {
		t.Fatal(err)
	}
	h := AllLive(c, "b0")
	_, err = Apply(drained, h, DrainInstance{ID: "w1"})
	assertErrorType[*BudgetError](t, err)
	_, err = Apply(drained, h, MoveInstance{ID: "w4", Pool: "lacing"})
	assertErrorType[*MoveError](t, err)
	_, err = Apply(drained, h, MoveInstance{ID: "w1", Pool: "spare"})
	assertErrorType[*MoveCycleError](t, err)
	_, err = Apply(c, h, RemovePool{Name: "lacing"})
	assertErrorType[*InUseError](t, err)
	_, err = Apply(c, h, RemovePool{Name: "rims"})
	assertErrorType[*NotFoundError](t, err)
	_, err = Apply(c, h, RemoveInstance{ID: "w1"})
	assertErrorType[*StateError](t, err)
	_, err = Apply(c, h, PutService{Service: beryllatch.Service{Name: "lacing"}})
	assertErrorType[*beryllatch.InvalidFieldError](t, err)
}

// TestUnreportedInstanceCounts guards against drains by a node that has just started and has no health reports yet: an
// instance that has not reported counts as unavailable.
func TestUnreportedInstanceCounts(t *testing.T) {
	for _, h := range []Health{nil, {"w1": healthy}} {
		_, err := Apply(fleet(2), h, DrainInstance{ID: "w1"})
		assertErrorType[*BudgetError](t, err)
	}
}
