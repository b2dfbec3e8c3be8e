package beryljobs

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"gotest.tools/v3/assert"
)

// Guards against callers that are refused together and return together, at once or under a lasting load, and against one that
// waits for longer than a takeover takes.
func TestRefusedCallersReturnOverTwoSeconds(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		refusals int
		interval time.Duration
	}{
		"one":          {1, 0},
		"at once":      {1000, 0},
		"in a second":  {500, 2 * time.Millisecond},
		"in 4 seconds": {2000, 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var r retryTimes
			delays, returns := make(map[time.Duration]int), make(map[int]int)
			for i := range c.refusals {
				at := time.Duration(i) * c.interval
				delay := r.book(start.Add(at))
				delays[delay]++
				returns[int((at+delay)/time.Second)]++
			}
			assert.Equal(t, delays[time.Second], (c.refusals+1)/2)
			assert.Equal(t, delays[2*time.Second], c.refusals/2)
			for second, n := range returns {
				assert.Assert(t, n <= 500, "%d callers return in second %d", n, second)
			}
		})
	}
}

// Guards against refusals of the distant past, or of a clock that was ahead, which raise the rate.
func TestOldRefusalsDoNotRaiseTheRate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for name, step := range map[string]time.Duration{"later": time.Minute, "clock set back": -time.Minute} {
		t.Run(name, func(t *testing.T) {
			var r retryTimes
			for range 1000 {
				r.book(start)
			}
			r.count(start.Add(step))
			assert.DeepEqual(t, r.refusals, [returnSeconds]int{1, 0})
		})
	}
}

// Guards against a planned retry time where it must stay as it was: without weights, and in other refusals. Calls run
// concurrently, so that the race detector sees unguarded bookings.
func TestOnlyTakeoversWithWeightsArePlanned(t *testing.T) {
	weighted := &beryllatch.Deployment{Teams: map[string]beryllatch.JobTeam{"a": {Name: "a"}, "b": {Name: "b", Weight: 0.5}}}
	without := &beryllatch.Deployment{Teams: map[string]beryllatch.JobTeam{"a": {Name: "a"}, "b": {Name: "b"}}}
	for name, c := range map[string]struct {
		deployment *beryllatch.Deployment
		planned    bool
	}{
		"weights": {weighted, true}, "no weights": {without, false}, "no configuration": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{Log: &DecisionLog{}, Metrics: berylmetrics.New()}
				n.deployment.Store(c.deployment)
				var mu sync.Mutex
				delays := make(map[time.Duration]int)
				var wg sync.WaitGroup
				for range 100 {
					wg.Go(func() {
						_, err := n.Pending(t.Context(), "q")
						var f *beryllatch.Refusal
						mu.Lock()
						defer mu.Unlock()
						if errors.As(err, &f) {
							delays[f.RetryAfter]++
						}
					})
					wg.Go(func() {
						err := n.Submit(t.Context(), beryllatch.Job{ID: "1", Queue: "q"})
						var f *beryllatch.Refusal
						mu.Lock()
						defer mu.Unlock()
						if errors.As(err, &f) && f.RunState == beryllatch.RunStateNotRun {
							delays[f.RetryAfter]++
						}
					})
				}
				wg.Wait()
				stale := n.StaleRetry()
				if c.planned {
					assert.DeepEqual(t, delays, map[time.Duration]int{time.Second: 100, 2 * time.Second: 100})
					assert.Equal(t, stale, time.Second)
				} else {
					assert.DeepEqual(t, delays, map[time.Duration]int{noSchedulerRetry: 200})
					assert.Equal(t, stale, time.Duration(0))
				}
				for _, other := range []*beryllatch.Refusal{
					{Reason: beryllatch.ReasonNoScheduler, RunState: beryllatch.RunStateUnknown},
					{Reason: beryllatch.ReasonQueueFull, RunState: beryllatch.RunStateNotRun, RetryAfter: 4 * time.Second},
				} {
					before := *other
					assert.Equal(t, n.planRetry(other), error(other))
					assert.Equal(t, *other, before)
				}
				assert.NilError(t, n.planRetry(nil))
			})
		})
	}
}
