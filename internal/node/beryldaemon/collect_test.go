package beryldaemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a GOGC value that stays at the idle one under requests, and against setting it when it does not
// change.
func TestCollectorFollowsRequests(t *testing.T) {
	var set []int
	c := gcTuner{setPercent: func(percent int) int { set = append(set, percent); return 0 }}
	for _, arrived := range []int64{0, 1, idleRequestRate, 1000, 1000, 0, 0} {
		c.requests.Add(arrived)
		c.adjust()
	}
	assert.DeepEqual(t, set, []int{idleGCPercent, busyGCPercent, idleGCPercent})
}
