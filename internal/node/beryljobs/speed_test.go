package beryljobs

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Single samples that are too long or too short don't change what a machine counts as; a lasting slowdown does until it ends.
func TestSpeedMeter(t *testing.T) {
	var took time.Duration
	m := speedMeter{measure: func() time.Duration { return took }}
	sample := func(us int, n int) {
		for range n {
			took = time.Duration(us) * time.Microsecond
			m.sample()
		}
	}
	sample(20, 20)
	sample(1, 1)
	sample(200, 3)
	assert.Assert(t, !m.slow())
	sample(20, 10)
	sample(100, 4)
	assert.Assert(t, !m.slow())
	sample(100, 5)
	assert.Assert(t, m.slow())
	sample(1, 1)
	assert.Assert(t, m.slow())
	sample(20, 6)
	assert.Assert(t, !m.slow())
}

// A scheduling node whose machine becomes slow must hand over to one that is not, soon: it goes on to answer probes and to write
// heartbeats, so nothing else would replace it.
func TestSlowNodeHandsOver(t *testing.T) {
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		var slow [4]atomic.Bool
		start := c.startNode
		c.startNode = func(n *Node) {
			i := len(c.nodes) - 1
			n.speed.measure = func() time.Duration {
				if slow[i].Load() {
					return 100 * time.Microsecond
				}
				return 20 * time.Microsecond
			}
			start(n)
		}
		for range len(slow) {
			c.join(0.4)
		}
		time.Sleep(4 * time.Second)
		first := c.schedulingNodes()[0]
		fast := (first + 2) % len(slow)
		for i := range slow {
			slow[i].Store(i != fast)
		}
		time.Sleep(2500 * time.Millisecond)
		assert.DeepEqual(t, c.schedulingNodes(), []int{fast})
		assert.Equal(t, c.epoch(), int64(2))
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.epoch(), int64(2), "no further hand-over")
	})
}
