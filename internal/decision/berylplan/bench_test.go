package berylplan

import (
	"testing"

	"github.com/beryllatch/beryllatch"
)

// BenchmarkNextSteps measures the search for due steps at the design size, which every node makes twice a second
// during a wave.
func BenchmarkNextSteps(b *testing.B) {
	c := designFleet()
	h := AllLive(c, "b0")
	c, err := Apply(c, h, StartWave{Wave: beryllatch.Wave{ID: "winter", Services: beryllatch.SortedKeys(c.Services)}})
	if err != nil {
		b.Fatal(err)
	}
	_, c = NextSteps(c, h)
	for id := range c.Instances {
		if c.Instances[id].State != beryllatch.InstanceActive {
			h[id] = InstanceHealth{Live: true, BootID: "b0"}
		}
	}
	for b.Loop() {
		NextSteps(c, h)
	}
}

// BenchmarkLoadMoves measures a look for load moves at the design size, which every node makes once a second: one pool
// lacks instances, and no other one has any to spare.
func BenchmarkLoadMoves(b *testing.B) {
	c := designFleet()
	h := AllLive(c, "b0")
	var demands []PoolDemand
	for _, name := range beryllatch.SortedKeys(c.Pools) {
		demands = append(demands, PoolDemand{Pool: name, Need: 27, Peak: 30, ObservedFor: LendAfter})
	}
	demands[0].Need, demands[0].ShortFor = 40, 2*LendAfter
	for b.Loop() {
		LoadMoves(c, h, demands)
	}
}
