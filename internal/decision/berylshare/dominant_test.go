package berylshare

import (
	"math"
	"testing"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func cpu(n int) beryllatch.Resources { return beryllatch.Resources{CPUMilli: n} }

// Guards against shares that limit teams while there is enough for all, or that leave a part of a full capacity to nobody.
func TestDivide(t *testing.T) {
	inf := math.Inf(1)
	for name, c := range map[string]struct {
		capacity beryllatch.Resources
		accounts []Account
		want     []float64
	}{
		"enough for all":            {cpu(100), []Account{{1, cpu(60)}, {9, cpu(40)}}, []float64{inf, inf}},
		"one hot":                   {cpu(100), []Account{{1, cpu(900)}, {1, cpu(20)}, {1, cpu(10)}}, []float64{0.7, inf, inf}},
		"two hot, by weight":        {cpu(100), []Account{{3, cpu(900)}, {1, cpu(900)}, {1, cpu(20)}}, []float64{0.6, 0.2, inf}},
		"all hot":                   {cpu(100), []Account{{1, cpu(500)}, {1, cpu(500)}, {2, cpu(500)}}, []float64{0.25, 0.25, 0.5}},
		"the largest weight is hot": {cpu(100), []Account{{8, cpu(900)}, {1, cpu(10)}, {1, cpu(30)}}, []float64{0.8, inf, 0.1}},
		"no capacity":               {cpu(0), []Account{{1, cpu(5)}}, []float64{inf}},
		"memory is short as well": {
			beryllatch.Resources{CPUMilli: 90, MemoryMB: 180},
			[]Account{{1, beryllatch.Resources{CPUMilli: 900, MemoryMB: 3600}}, {1, beryllatch.Resources{CPUMilli: 900, MemoryMB: 300}}},
			[]float64{2. / 3, 2. / 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := Divide(c.capacity, c.accounts)
			for i := range c.want {
				assert.Assert(t, got[i] == c.want[i] || math.Abs(got[i]-c.want[i]) < 1e-9, "got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against shares of a full resource that add up to more or less than it, and against an account that gets less than another one
// that asks for more, in relation to their weights.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Account {
			return Account{Weight: float64(rapid.IntRange(1, 20).Draw(t, "weight")), Demand: cpu(rapid.IntRange(0, 500).Draw(t, "demand"))}
		}), 1, 30).Draw(t, "accounts")
		const capacity = 1000
		limits := Divide(cpu(capacity), accounts)
		sum, demand, level := 0.0, 0, math.Inf(1)
		for i, a := range accounts {
			demand += a.Demand.CPUMilli
			sum += min(limits[i]*capacity, float64(a.Demand.CPUMilli))
			level = min(level, limits[i]/a.Weight)
		}
		assert.Assert(t, math.Abs(sum-float64(min(demand, capacity))) < 1e-6, "%f of %d given, %d asked for", sum, capacity, demand)
		for i, a := range accounts {
			met := math.IsInf(limits[i], 1)
			assert.Assert(t, !met || math.IsInf(level, 1) || float64(a.Demand.CPUMilli)/capacity <= level*a.Weight+1e-9, "account %d gets more than its share", i)
			assert.Assert(t, met || math.Abs(limits[i]/a.Weight-level) < 1e-9, "account %d has another level", i)
		}
	})
}
