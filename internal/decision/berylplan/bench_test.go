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
