package berylscheduler

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resumeAfter stops all events for the given time, as in a paused process, and then sends a tick.
func (h *harness) resumeAfter(pause time.Duration) {
	h.t.Helper()
	h.deferConfirmation = true
	h.now = h.now.Add(pause)
	h.apply(Ticked{})
}

// A process that was paused for longer than its leases must not start their tasks again before the store has confirmed that no
// other node has taken over.
func TestPausedNodeStartsNothingUnconfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		outcome EpochConfirmed
		starts  int
		resigns bool
	}{
		"still scheduling":    {EpochConfirmed{Current: true}, 1, false},
		"replaced":            {EpochConfirmed{}, 0, true},
		"no answer":           {EpochConfirmed{Err: errors.New("the store is away")}, 0, false},
		"error despite a row": {EpochConfirmed{Current: true, Err: errors.New("cut off")}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b")
			h.accept(singleTaskJob("0000000000000001"))
			h.confirmStarts()
			h.resumeAfter(2 * expiryBound(h.s.Limits.MaxLease))
			assert.Equal(t, h.confirmations, 1)
			h.answerHolds(nil)
			h.tickFor(time.Second)
			assert.Equal(t, len(h.starts), 0, "nothing may start before the epoch is confirmed")
			assert.Equal(t, h.confirmations, 1, "one request is in flight")
			h.confirmations = 0
			h.apply(c.outcome)
			h.answerHolds(nil)
			h.tickFor(time.Second)
			assert.Equal(t, len(h.starts), c.starts)
			assert.Equal(t, slices.ContainsFunc(h.otherEffects, func(f Effect) bool { _, ok := f.(Resign); return ok }), c.resigns)
		})
	}
}

// A suspended machine's monotonic clock stands still; the wall clock shows the pause.
func TestSuspensionIsAPause(t *testing.T) {
	h := newHarness(t)
	h.deferConfirmation = true
	began := time.Now()
	h.s = testScheduler(1, 7)
	h.s.Apply(began, Recovered{})
	h.s.Apply(began.Add(100*time.Millisecond), Ticked{})
	assert.Assert(t, h.s.confirmed)
	h.s.lastEvent = h.s.lastEvent.Round(0).Add(-5 * time.Second)
	h.s.Apply(began.Add(200*time.Millisecond), Ticked{})
	assert.Assert(t, !h.s.confirmed)
}

// A slow tick is no pause.
func TestTicksGoOnUnconfirmed(t *testing.T) {
	h := newHarness(t)
	h.deferConfirmation = true
	for range 20 {
		h.now = h.now.Add(pauseThreshold - time.Millisecond)
		h.apply(Ticked{})
		assert.Assert(t, h.s.confirmed)
	}
	assert.Assert(t, !slices.Contains(h.decisions, "process_was_paused"))
}

// A confirmation that was requested before a pause says nothing about the time after it.
func TestConfirmationFromBeforeAPauseIsNone(t *testing.T) {
	h := newHarness(t)
	h.deferConfirmation = true
	h.tickFor(2 * proofInterval)
	assert.Equal(t, h.confirmations, 1)
	h.resumeAfter(5 * time.Second)
	h.apply(EpochConfirmed{Current: true})
	assert.Assert(t, !h.s.confirmed)
	h.apply(EpochConfirmed{Current: true})
	assert.Assert(t, h.s.confirmed)
}

// Without an answer of the store for a while, the log says so once, and again when the store answers.
func TestOldProofIsLogged(t *testing.T) {
	h := newHarness(t)
	h.deferConfirmation = true
	h.tickFor(5 * time.Second)
	h.apply(EpochConfirmed{Err: errors.New("the store is away")})
	h.tickFor(100 * time.Millisecond)
	h.apply(EpochConfirmed{Current: true})
	var names []string
	for _, d := range h.decisions {
		if d == "epoch_proven" || d == "epoch_unproven" {
			names = append(names, d)
		}
	}
	assert.DeepEqual(t, names, []string{"epoch_unproven", "epoch_proven"})
}

// After a pause, all leases that this node knows of may have expired, while a worker that has started again meanwhile has a longer one, from
// an order that was delivered late: it must be asked before its runs are written off (TWICE).
func TestPausedNodeAsksBeforeItWritesOffRuns(t *testing.T) {
	for name, answers := range map[string]bool{"answers": true, "is silent": false} {
		t.Run("the worker "+name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.accept(singleTaskJob("0000000000000001"))
			running := runningLists(h.confirmStarts(), 10)
			h.answerHolds(running)
			h.register("b")
			silent := "a"
			if answers {
				silent = ""
			}
			h.resumeAfter(expiryBound(testLease) + time.Second)
			h.deferConfirmation = false
			h.apply(EpochConfirmed{Current: true})
			h.tickFor(100 * time.Millisecond)
			assert.Equal(t, len(h.starts), 0, "the worker has not been asked since")
			for range 10 {
				h.answerHolds(running, silent)
				h.tickFor(100 * time.Millisecond)
			}
			want := 1
			if answers {
				want = 0
			}
			assert.Equal(t, len(h.starts), want)
		})
	}
}
