package berylintake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against limits that are missing or too small for a node to work when the settings say little.
func TestLimitsFor(t *testing.T) {
	for name, c := range map[string]struct {
		memoryMB, maxFDs int
		want             Limits
	}{
		"smallest machine": {184, 4100, Limits{46 << 20, 975}},
		"lowered limits":   {96, 600, Limits{24 << 20, 100}},
		"nothing known":    {0, 0, Limits{64 << 20, 206}},
		"very little":      {8, MinFDs, Limits{minBudget, minConnections}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, LimitsFor(c.memoryMB, c.maxFDs), c.want) })
	}
}

// Guards against large requests that use up the reserve for small ones, and against charges above the budget.
func TestGranted(t *testing.T) {
	l := Limits{Bytes: 800}
	for name, c := range map[string]struct {
		used, n, size int64
		want          bool
	}{
		"large, within":      {600, 100, smallRequest + 1, true},
		"large, in reserve":  {601, 100, smallRequest + 1, false},
		"small, in reserve":  {601, 100, smallRequest, true},
		"small, fills it up": {700, 100, 1, true},
		"small, above":       {701, 100, 1, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, l.granted(c.used, c.n, c.size), c.want) })
	}
}

// Guards against closing a connection that is of more use than another one, such as that of another node before a caller's.
func TestClosesBefore(t *testing.T) {
	early, late := time.Unix(100, 0), time.Unix(200, 0)
	order := []usage{
		{progress: early},
		{progress: late, peer: true},
		{answered: true, progress: early},
		{answered: true, progress: late},
		{answered: true, peer: true, progress: early},
		{answering: true, progress: early},
	}
	for i, first := range order[:len(order)-1] {
		for _, second := range order[i+1:] {
			assert.Check(t, first.closesBefore(second), "%+v before %+v", first, second)
			if _, ok := second.rank(); ok {
				assert.Check(t, !second.closesBefore(first), "%+v before %+v", second, first)
			}
		}
	}
}

// Guards against giving away the budget of a request that makes progress, or is being answered.
func TestStalled(t *testing.T) {
	now := time.Unix(100, 0)
	old := now.Add(-stallTime)
	for name, c := range map[string]struct {
		usage usage
		want  bool
	}{
		"stalled":   {usage{held: 1, progress: old}, true},
		"progress":  {usage{held: 1, progress: old.Add(1)}, false},
		"answering": {usage{held: 1, progress: old, answering: true}, false},
		"no budget": {usage{progress: old}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.usage.stalled(now), c.want) })
	}
}
