package berylplan

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// MoveAfter is how long a demand must last before an instance is moved for it: a shorter one is over before the
// instance has drained and joined.
const MoveAfter = StepTime

// PoolDemand is the demand on a pool.
type PoolDemand struct {
	Pool string
	// Need is the number of instances that the demand takes.
	Need int
	// Lasted is how long the demand has been above the pool's size.
	Lasted time.Duration
}

// LoadMoves returns the moves from spare pools that lasting demands call for and the budgets allow.
func LoadMoves(c beryllatch.Config, h Health, demands []PoolDemand) []MoveInstance {
	var out []MoveInstance
	for _, d := range demands {
		if d.Lasted <= MoveAfter {
			continue
		}
		for have := serving(c, h, d.Pool); have < d.Need; have++ {
			ch, next, ok := spareMove(c, h, d.Pool)
			if !ok {
				break
			}
			out = append(out, ch)
			c = next
		}
	}
	return out
}

// serving counts the instances that serve the pool or are on their way to it.
func serving(c beryllatch.Config, h Health, pool string) int {
	n := 0
	for _, i := range c.Instances {
		if i.MoveTo == pool || i.Pool == pool && !unavailable(c, h, i) {
			n++
		}
	}
	return n
}

// spareMove returns the first allowed move of a spare instance to the pool.
func spareMove(c beryllatch.Config, h Health, pool string) (MoveInstance, beryllatch.Config, bool) {
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		i := c.Instances[id]
		if !c.Pools[i.Pool].Spare || i.Pool == pool || unavailable(c, h, i) {
			continue
		}
		ch := MoveInstance{ID: id, Pool: pool}
		if next, err := applyOne(c, h, ch); err == nil {
			return ch, next, true
		}
	}
	return MoveInstance{}, c, false
}
