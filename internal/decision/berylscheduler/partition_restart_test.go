package berylscheduler

import (
	"testing"

	"gotest.tools/v3/assert"
)

// restartSeeds is the number of seeds with quick restarts and late orders without PARTITION_SEEDS.
const restartSeeds = 30

// checkRestarts plays workers that start again at once, with orders that are carried out seconds later, by the next incarnation of their
// worker if need be.
func checkRestarts(t *testing.T, options partitionOptions) {
	t.Helper()
	options.restarts, options.quickRestarts, options.lateOrders = true, true, true
	first, count := partitionSeedRange(t, restartSeeds)
	starts := 0
	broken := make(map[string][]uint64)
	for seed := first; seed < first+count; seed++ {
		m := newPartitionModel(seed, options)
		violations := m.run()
		starts += m.judge.starts
		seen := make(map[string]bool)
		for _, v := range violations {
			if seen[v.rule] {
				continue
			}
			seen[v.rule] = true
			broken[v.rule] = append(broken[v.rule], seed)
			if len(broken[v.rule]) == 1 {
				t.Errorf("seed %d, %d violations, first of %s: %v\n%s", seed, len(violations), v.rule, v, m.story(v))
			}
		}
	}
	t.Logf("%d starts, broken rules: %v", starts, broken)
	assert.Assert(t, starts > 100*int(count))
}

// Guards against review/13: orders to one incarnation of a worker were carried out by the next one.
func TestRulesHoldAcrossRestarts(t *testing.T) {
	checkRestarts(t, partitionOptions{connected: true})
}

// The same on a network that is cut, with nodes that are paused.
func TestRulesHoldAcrossRestartsInPartitions(t *testing.T) {
	checkRestarts(t, partitionOptions{})
}
