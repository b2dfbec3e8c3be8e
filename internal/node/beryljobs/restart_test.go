package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restart calls f with a cluster without nodes whose previous scheduling node, with 0.8 of a core, has ended.
func restart(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		c.store.mu.Lock()
		row := dutyRow(schedulingNode{Node: "ended", Address: "ended", Incarnation: "1", Epoch: 1, CPUShare: 0.8})
		row.Version = 1
		c.store.rows[rowName(row.Table, row.Part, row.Key)] = row
		c.store.mu.Unlock()
		c.mesh.mu.Lock()
		c.mesh.ended["ended"] = true
		c.mesh.mu.Unlock()
		f(t, c)
	})
}

// When all nodes restart, the small ones must leave the scheduling to a larger one that starts a moment later: they have no
// answer of a scheduling node that tells them of it.
func TestSmallNodesLeaveARestartToALargerOne(t *testing.T) {
	restart(t, func(t *testing.T, c *cluster) {
		for range 6 {
			c.join(0.2)
		}
		time.Sleep(200 * time.Millisecond)
		c.join(0.8)
		time.Sleep(time.Second)
		assert.DeepEqual(t, c.schedulingNodes(), []int{len(c.nodes) - 1})
		assert.Equal(t, c.epoch(), int64(2))
	})
}

// When all nodes restart, one claim is enough: the store carries the others out one after another before it stores what the
// new scheduling node sends.
func TestNodesThatRestartClaimOnce(t *testing.T) {
	restart(t, func(t *testing.T, c *cluster) {
		before := c.store.commitAttempts()
		for range 40 {
			c.join(0.8)
		}
		time.Sleep(250 * time.Millisecond)
		assert.Equal(t, len(c.schedulingNodes()), 1)
		attempts := c.store.commitAttempts() - before
		assert.Assert(t, attempts <= 5, "%d transactions", attempts)
	})
}

// On a large deployment most nodes must probe the scheduling node rarely.
func TestRearNodesProbeRarely(t *testing.T) {
	testCluster(t, 60, func(t *testing.T, c *cluster) {
		time.Sleep(2 * time.Second)
		rear := 0
		for _, n := range c.nodes {
			n.mu.Lock()
			if n.largerNodes > 0 {
				rear++
			}
			n.mu.Unlock()
		}
		assert.Assert(t, rear >= 60-maxFrontNodes-2 && rear < 60, "%d nodes", rear)
	})
}
