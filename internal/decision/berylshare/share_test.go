package berylshare

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tolerance = 1e-6

func drawClaims(t *rapid.T) []Claim {
	n := rapid.IntRange(0, 12).Draw(t, "claims")
	claims := make([]Claim, n)
	for i := range claims {
		claims[i] = Claim{
			Name:    "t" + strconv.Itoa(i),
			Weight:  rapid.IntRange(0, 9).Draw(t, "weight"),
			Ceiling: rapid.IntRange(0, 40).Draw(t, "ceiling"),
			Demand:  rapid.IntRange(0, 60).Draw(t, "demand"),
		}
	}
	return claims
}

func drawAmounts(t *rapid.T) map[string]int {
	return rapid.MapOfN(rapid.StringMatching(`[a-h]`), rapid.IntRange(0, 30), 0, 8).Draw(t, "amounts")
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Guards against a share above its ceiling or demand, shares that exceed the capacity together, and capacity that is left
// unused while there is demand.
func TestMaxMinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, claims := rapid.IntRange(0, 200).Draw(t, "capacity"), drawClaims(t)
		shares := MaxMin(capacity, claims)
		total, limits := 0.0, 0.0
		for _, c := range claims {
			assert.Assert(t, shares[c.Name] <= c.limit()+tolerance, "%+v got %v", c, shares[c.Name])
			total += shares[c.Name]
			limits += c.limit()
		}
		assert.Assert(t, total <= float64(capacity)+tolerance)
		assert.Assert(t, total >= min(float64(capacity), limits)-tolerance, "%v of %v used", total, capacity)
	})
}

// Guards against a team that gets a smaller share when its weight is raised.
func TestMaxMinMonotoneInWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, claims := rapid.IntRange(0, 200).Draw(t, "capacity"), drawClaims(t)
		if len(claims) == 0 {
			return
		}
		i := rapid.IntRange(0, len(claims)-1).Draw(t, "raised")
		before := MaxMin(capacity, claims)[claims[i].Name]
		claims[i].Weight += rapid.IntRange(1, 5).Draw(t, "by")
		assert.Assert(t, MaxMin(capacity, claims)[claims[i].Name] >= before-tolerance)
	})
}

// Guards against rounding errors that lose or add units.
func TestSplitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demand := rapid.IntRange(0, 100).Draw(t, "capacity"), drawAmounts(t)
		level := Level(capacity, demand)
		assert.Equal(t, sum(level), min(capacity, sum(demand)))
		for name, n := range level {
			assert.Assert(t, n <= demand[name])
		}
		if len(demand) > 0 {
			assert.Equal(t, sum(Split(capacity, demand)), capacity)
		}
	})
}

// Guards against a node whose amount is reduced further because the demand of another node has fallen.
func TestLevelIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, amounts := rapid.IntRange(0, 100).Draw(t, "capacity"), drawAmounts(t)
		if len(amounts) == 0 {
			return
		}
		before := Level(capacity, amounts)
		lowered := rapid.SampledFrom(slices.Sorted(maps.Keys(amounts))).Draw(t, "lowered")
		fewer := maps.Clone(amounts)
		fewer[lowered] = rapid.IntRange(0, fewer[lowered]).Draw(t, "to")
		after := Level(capacity, fewer)
		for name := range amounts {
			assert.Assert(t, name == lowered || after[name] >= before[name], "%s: %d then %d", name, before[name], after[name])
		}
	})
}

// Guards against changed results in simple cases that can be checked by hand.
func TestShares(t *testing.T) {
	claims := []Claim{{"big", 3, 100, 100}, {"small", 1, 100, 100}, {"idle", 5, 100, 2}}
	assert.DeepEqual(t, MaxMin(42, claims), map[string]float64{"big": 30, "small": 10, "idle": 2})
	assert.DeepEqual(t, Level(7, map[string]int{"a": 5, "b": 5}), map[string]int{"a": 4, "b": 3})
	assert.DeepEqual(t, Split(10, map[string]int{"a": 5, "b": 1, "c": 0}), map[string]int{"a": 7, "b": 2, "c": 1})
}
