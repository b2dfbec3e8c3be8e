package beryldaemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a collector that stays at the value of rest under requests, or changes it again and again.
func TestCollectorFollowsRequests(t *testing.T) {
	var set []int
	c := gcTuner{setPercent: func(percent int) int { set = append(set, percent); return 0 }}
	for _, arrived := range []int64{0, 1, idleRequestRate, 1000, 1000, 0, 0} {
		c.requests.Add(arrived)
		c.adjust()
	}
	assert.DeepEqual(t, set, []int{idleGCPercent, busyGCPercent, idleGCPercent})
}
