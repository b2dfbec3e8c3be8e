package berylmeasure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against nodes that lend no instance to a pool with a long peak of demand, and against loans that are not given
// back after the peak.
func TestNodesMoveForLoad(t *testing.T) {
	const peak = 5 * time.Minute
	s := script{name: "peak", title: "a long peak", length: warmUp + 2*peak, load: func(work int, at time.Duration) float64 {
		switch {
		case at > warmUp+peak:
			return 0.1
		case work == 0:
			return 6
		}
		return 0.3
	}}
	f, err := newFleet(tinyDeployment(), Policies()[0], s, 3)
	assert.NilError(t, err)
	f.run()
	r := f.result()
	assert.Equal(t, r.brokenCount(), 0, r.Summary())
	lent, givenBack := f.meter.counters["move_lend"], f.meter.counters["move_give_back"]
	assert.Assert(t, lent > 0 && lent == givenBack, "%d lent, %d given back", lent, givenBack)
	assert.Equal(t, int64(r.Moves), lent+givenBack)
	for _, i := range f.config().Instances {
		assert.Assert(t, i.Home == "" || i.Home == sparePool, "%s is still on loan from %s", i.ID, i.Home)
	}
}
