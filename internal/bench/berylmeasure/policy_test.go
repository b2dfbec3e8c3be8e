package berylmeasure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a variant that behaves like the chosen policy because its switch has no effect, and against requests
// that depend on the policy.
func TestBaselinesDiffer(t *testing.T) {
	chosen := measureBursts(t, Policies()[0])
	for _, p := range Policies()[1:] {
		// one_at_a_time differs in maintenance only, and this script has none.
		if p.oneAtATime {
			continue
		}
		other := measureBursts(t, p)
		assert.Equal(t, other.Requests, chosen.Requests, p.Name)
		other.Policy = chosen.Policy
		assert.Assert(t, other.Summary() != chosen.Summary(), p.Name)
	}
}

// measureBursts returns the result of the run bursts under the policy.
func measureBursts(t *testing.T, p Policy) Result {
	t.Helper()
	r, err := plannedRun{deployment: tinyDeployment(), policy: p, script: bursts(tinyDeployment(), tinyPace())}.measure(3)
	assert.NilError(t, err)
	return r
}

// Guards against an undefined order of functions that are due at the same time.
func TestScheduleOrder(t *testing.T) {
	var s schedule
	var got []int
	s.after(2*time.Second, func() { got = append(got, 3) })
	s.after(time.Second, func() {
		got = append(got, 1)
		s.after(0, func() { got = append(got, 2) })
	})
	s.after(2*time.Second, func() { got = append(got, 4) })
	s.runUntil(time.Minute, func() bool { return false })
	assert.DeepEqual(t, got, []int{1, 2, 3, 4})
}
