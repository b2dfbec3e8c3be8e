package beryldaemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a collector that stays at the value of rest under requests, or changes it again and again.
func TestCollectorFollowsRequests(t *testing.T) {
	var set []int
	c := collector{set: func(percent int) int { set = append(set, percent); return 0 }}
	for _, arrived := range []int64{0, 1, restRate, 1000, 1000, 0, 0} {
		c.arrived.Add(arrived)
		c.fit()
	}
	assert.DeepEqual(t, set, []int{restPercent, workPercent, restPercent})
}
