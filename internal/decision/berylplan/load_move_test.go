package berylplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLoadMoves guards against moves for a demand of at most MoveAfter, moves without need, and more moves than the budget
// allows.
func TestLoadMoves(t *testing.T) {
	c := fleet(1)
	h := AllLive(c, "b0")
	for _, v := range []struct {
		need   int
		lasted time.Duration
		moves  int
	}{
		{need: 7, lasted: 60 * time.Second, moves: 0},
		{need: 7, lasted: 61 * time.Second, moves: 1},
		{need: 6, lasted: time.Hour, moves: 0},
		{need: 8, lasted: time.Hour, moves: 1},
	} {
		moves, _ := LoadMoves(c, h, []PoolDemand{{Pool: "lacing", Need: v.need, ShortFor: v.lasted}})
		assert.Equal(t, len(moves), v.moves, "%+v", v)
	}
}

// lendingFleet returns a fleet in two data centres with four pools, each with a service of its own: "a" and "b" with four
// instances, "c" with two and the given standing loan, and a spare pool with two instances.
func lendingFleet(budget, loan int) beryllatch.Config {
	c := beryllatch.Config{Version: 1}.WithDataCentre(beryllatch.DataCentre{Name: "dc0"}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc1"})
	for _, name := range []string{"a", "b", "c", "spare"} {
		p := beryllatch.Pool{Name: name, Service: name, Spare: name == "spare"}
		if name == "c" {
			p.StandingLoan = loan
		}
		c = c.WithService(beryllatch.Service{Name: name, MaxUnavailable: budget}).WithPool(p)
	}
	for n, pool := range []string{"a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "spare", "spare"} {
		next, err := Apply(c, nil, PutInstance{Instance: beryllatch.Instance{
			ID: fmt.Sprintf("w%02d", n), Pool: pool, DataCentre: fmt.Sprintf("dc%d", n%2), Rack: "r",
			Address: fmt.Sprintf("127.0.0.1:%d", 9001+n), Slots: 8, Connections: 8,
		}})
		if err != nil {
			panic(err)
		}
		c = next
	}
	return c
}

// withLoan returns the fleet after the instance has been lent to the pool.
func withLoan(c beryllatch.Config, id, pool string) beryllatch.Config {
	i := c.Instances[id]
	i.Home, i.Pool = i.Pool, pool
	return c.WithInstance(i)
}

// demandOf returns a demand that has been recorded for an hour.
func demandOf(pool string, need, peak int, lasted time.Duration) PoolDemand {
	return PoolDemand{Pool: pool, Need: need, Peak: peak, ShortFor: lasted, ObservedFor: time.Hour}
}

// Guards against a loan from a pool that needs its instances, a loan for a short demand, and invalid demands that are not
// reported.
func TestLoadMoveLenders(t *testing.T) {
	long := LendAfter + time.Second
	for name, v := range map[string]struct {
		config  beryllatch.Config
		demands []PoolDemand
		want    string
	}{
		"spare first":          {lendingFleet(1, 0), []PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 1, 1, 0)}, "lend w10 a;"},
		"short for a loan":     {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, LendAfter), demandOf("b", 1, 1, 0)}, "no_surplus a;"},
		"largest surplus":      {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 1, 1, 0), demandOf("c", 2, 2, 0)}, "lend w04 a;"},
		"spare on loan":        {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 4, 4, 0), demandOf("c", 1, 1, 0)}, "lend w10 a;"},
		"peak counts":          {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 1, 4, 0)}, "no_surplus a;"},
		"unknown demand":       {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, long), {Pool: "b", ObservedFor: LendAfter - 1}}, "no_surplus a;"},
		"each above the other": {lendingFleet(1, 2), []PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 5, 5, long)}, "no_surplus a;no_surplus b;"},
		"neediest first":       {lendingFleet(1, 0), []PoolDemand{demandOf("a", 5, 5, long), demandOf("c", 6, 6, long)}, "lend w10 c;budget a;"},
		"beyond the fleet":     {lendingFleet(1, 0), []PoolDemand{demandOf("a", 1e9, 1e9, long)}, "lend w10 a;"},
		"budget 0":             {lendingFleet(1, 0).WithService(beryllatch.Service{Name: "spare"}), []PoolDemand{demandOf("a", 5, 5, long)}, "budget a;"},
		"unknown pool":         {lendingFleet(1, 0), []PoolDemand{demandOf("x", 5, 5, long)}, "invalid_demand x;"},
		"twice":                {lendingFleet(1, 0), []PoolDemand{demandOf("a", 1, 1, 0), demandOf("a", 9, 9, long)}, "invalid_demand a;"},
		"negative":             {lendingFleet(1, 0), []PoolDemand{demandOf("a", -1, 1, long)}, "invalid_demand a;"},
		"spare pool":           {lendingFleet(1, 0), []PoolDemand{demandOf("spare", 9, 9, long)}, "invalid_demand spare;"},
		"smallest size": {
			lendingFleet(1, 2).WithPool(beryllatch.Pool{Name: "b", Service: "b", MinSize: 4}),
			[]PoolDemand{demandOf("a", 5, 5, long), demandOf("b", 0, 0, 0)},
			"pool_size a;",
		},
		"own instance first": {withLoan(lendingFleet(1, 0), "w00", "b"), []PoolDemand{demandOf("a", 4, 4, long), demandOf("b", 9, 9, long)}, "give_back w00 a;"},
		"standing loan":      {lendingFleet(1, 0).WithPool(beryllatch.Pool{Name: "b", Service: "b", StandingLoan: 1}), nil, "standing_loan w10 b;"},
		"lowered loan":       {lendingFleet(1, 2).WithPool(beryllatch.Pool{Name: "c", Service: "c"}), []PoolDemand{demandOf("c", 3, 3, 0)}, "give_back w10 spare;"},
		"loan in use":        {lendingFleet(1, 2).WithPool(beryllatch.Pool{Name: "c", Service: "c"}), []PoolDemand{demandOf("c", 3, 4, 0)}, ""},
		"loan that stays":    {lendingFleet(1, 2), []PoolDemand{demandOf("c", 0, 0, 0)}, ""},
	} {
		moves, refused := LoadMoves(v.config, AllLive(v.config, "b0"), v.demands)
		got := ""
		for _, m := range moves {
			got += fmt.Sprintf("%s %s %s;", m.Reason, m.ID, m.Pool)
		}
		for _, r := range refused {
			got += fmt.Sprintf("%s %s;", r.Reason, r.Pool)
		}
		assert.Equal(t, got, v.want, name)
	}
}

// Guards against a cycle of loans, against a loan that is lost when an operator changes, drains or returns the instance, and
// against a loan that continues after a move to another pool.
func TestLoanLifecycle(t *testing.T) {
	s := newSession(lendingFleet(2, 1))
	home := func(id string) string { return s.config.Instances[id].Pool + "<" + s.config.Instances[id].Home }
	assert.Equal(t, home("w10"), "c<spare")
	assert.Equal(t, home("w11"), "spare<")
	s.do(LendInstance{ID: "w00", Pool: "b"})
	_, err := Apply(s.config, s.health, LendInstance{ID: "w04", Pool: "a"})
	assert.ErrorContains(t, err, "closes a cycle of moves b -> a -> b")
	s.do(ReturnInstance{ID: "w00"})
	assert.Equal(t, home("w00"), "a<")
	s.do(LendInstance{ID: "w00", Pool: "b"})
	s.steps(1)
	assert.Equal(t, home("w00"), "b<a")
	s.do(PutInstance{Instance: s.config.Instances["w00"]}, DrainInstance{ID: "w00"}, ReturnInstance{ID: "w00"})
	assert.Equal(t, home("w00"), "b<a")
	_, err = Apply(s.config, s.health, RemovePool{Name: "spare"})
	assert.ErrorContains(t, err, "instances.w10")
	s.do(LendInstance{ID: "w10", Pool: "spare"}, MoveInstance{ID: "w00", Pool: "c"})
	s.steps(1)
	assert.Equal(t, home("w10"), "spare<")
	assert.Equal(t, home("w00"), "c<")
}

// Guards against instances that are moved back and forth under a constant demand, and against a planned move that Apply
// refuses, for example because it exceeds a budget.
func TestSteadyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := lendingFleet(rapid.IntRange(1, 2).Draw(t, "budget"), rapid.IntRange(0, 3).Draw(t, "loan"))
		h := AllLive(c, "b0")
		var history DemandHistory
		moves, now := 0, time.Duration(0)
		for range 3 {
			needs := map[string]int{}
			for _, pool := range []string{"a", "b", "c"} {
				needs[pool] = rapid.IntRange(0, 8).Draw(t, pool)
			}
			start, lastMove := now, now
			for now < start+400*time.Second {
				now += 4 * time.Second
				_, c = NextSteps(c, h)
				history.Note(now, needs, CountServing(c, h))
				list, _ := LoadMoves(c, h, history.Demands(now))
				for _, m := range list {
					next, err := Apply(c, h, m.LendInstance)
					assert.NilError(t, err)
					c = next
				}
				moves += len(list)
				if len(list) > 0 {
					lastMove = now
				}
			}
			assert.Assert(t, lastMove < start+300*time.Second, "moves after %s of a steady demand", lastMove-start)
		}
		assert.Assert(t, moves <= 3*len(c.Instances), "%d moves", moves)
	})
}

// Guards against a peak that is dropped before LendAfter or kept longer, and against a pool without a need that stays in the
// history.
func TestDemandHistory(t *testing.T) {
	var d DemandHistory
	sizes := map[string]int{"a": 3}
	for n, need := range []int{2, 5, 4, 4} {
		d.Note(time.Duration(n)*time.Minute, map[string]int{"a": need}, sizes)
	}
	assert.DeepEqual(t, d.Demands(3*time.Minute), []PoolDemand{
		{Pool: "a", Need: 4, Peak: 5, ShortFor: 2 * time.Minute, ObservedFor: 3 * time.Minute},
	})
	d.Note(4*time.Minute, map[string]int{"a": 1}, sizes)
	assert.DeepEqual(t, d.Demands(4*time.Minute), []PoolDemand{{Pool: "a", Need: 1, Peak: 4, ObservedFor: 4 * time.Minute}})
	d.Note(5*time.Minute, nil, sizes)
	assert.Equal(t, len(d.Demands(5*time.Minute)), 0)
}

// Guards against standing loans for pools without a burst, and against a division by zero for a pool without instances.
func TestStandingLoans(t *testing.T) {
	sizes := map[string]int{"a": 10, "b": 5}
	for name, v := range map[string]struct {
		loads []PoolLoad
		want  map[string]int
	}{
		"no loads": {nil, map[string]int{}},
		"no work":  {[]PoolLoad{{Pool: "a"}}, map[string]int{}},
		"neediest": {[]PoolLoad{{Pool: "a", Burst: 80}, {Pool: "b", Burst: 80}}, map[string]int{"b": 3}},
		"equal":    {[]PoolLoad{{Pool: "a", Burst: 80}, {Pool: "b", Burst: 40}}, map[string]int{"a": 2, "b": 1}},
		"no size":  {[]PoolLoad{{Pool: "a", Burst: 80}, {Pool: "x", Burst: 1}}, map[string]int{"a": 2, "x": 1}},
	} {
		got := StandingLoans(v.loads, sizes, 8, 3)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(v.want), name)
	}
}
