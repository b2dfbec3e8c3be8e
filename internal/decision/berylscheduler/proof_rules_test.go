package berylscheduler

import (
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// resigns reports whether the scheduler has resigned.
func (h *harness) resigns() bool {
	return slices.ContainsFunc(h.otherEffects, func(f Effect) bool { _, ok := f.(Resign); return ok })
}

// heal lets the store answer again for the given time; the workers list the given runs.
func (h *harness) heal(d time.Duration, lists map[string]beryllatch.WorkerLists) {
	h.t.Helper()
	h.deferConfirmation = false
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickFor(100 * time.Millisecond)
		h.answerHolds(lists)
	}
}

// An answer that comes late shows the state when the request was carried out, which may have been right after it was sent: a proof from the
// time of the answer would hide a takeover in between.
func TestProofCountsFromTheRequest(t *testing.T) {
	const late = 2 * time.Second
	t.Run("transaction", func(t *testing.T) {
		h := newHarness(t)
		h.deferConfirmation = true
		sent := h.now
		h.submit(singleTaskJob("0000000000000001"))
		assert.Equal(t, len(h.commits), 1)
		h.tickFor(late)
		h.storeAll()
		assert.Equal(t, h.s.provenAt(), sent)
	})
	t.Run("confirmation", func(t *testing.T) {
		h := newHarness(t)
		h.deferConfirmation = true
		for h.confirmations == 0 {
			h.tickFor(100 * time.Millisecond)
		}
		sent := h.now
		h.tickFor(late)
		h.apply(EpochConfirmed{Current: true})
		assert.Equal(t, h.s.provenAt(), sent)
	})
	t.Run("claim", func(t *testing.T) {
		h := newHarness(t)
		h.s = testScheduler(1, 7)
		h.s.ClaimedAt = h.now.Add(-late)
		h.apply(Recovered{})
		assert.Equal(t, h.s.provenAt(), h.s.ClaimedAt)
	})
}

// A worker that has not answered lately may have started again, and would keep a lease for the longest time. Without a recent proof it must
// answer before it gets a lease or a start.
func TestSilentWorkerIsAskedBeforeItGetsALease(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickFor(contactValidity + time.Second)
	assert.Equal(t, len(h.holds), 0, "an idle worker is left alone")
	h.deferConfirmation = true
	h.submit(singleTaskJob("0000000000000001"))
	h.tickFor(maxUnnoticedProofAge + 200*time.Millisecond)
	h.storeAll()
	h.tickFor(200 * time.Millisecond)
	assert.Assert(t, h.s.mayAct())
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, len(h.holds), 1)
	assert.Equal(t, h.holds[0].Order.LeaseEnd, time.Duration(0))
	h.answerHolds(nil)
	h.tickFor(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Order.LeaseEnd > h.clock())
}

// The scheduling node before may grant a lease of the longest time up to maxUnnoticedProofAge after the takeover. Until that has expired, a
// worker that is not reached counts as having runs, also one that registers again after its incarnation had ended.
func TestLeasesOfEarlierEpochsExpireLate(t *testing.T) {
	for name, returns := range map[string]bool{"used before": false, "registers again": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			stored := make(storedRows)
			h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
			h.storeInto(stored)
			h = h.takeOver(stored)
			began := h.now
			h.apply(RegistryRead{Workers: []beryllatch.WorkerInfo{workerInfo("a")}})
			if returns {
				h.tickFor(time.Second)
				down := instancesOf("a")
				down[0].State = beryllatch.FleetInstanceDown
				h.apply(InstancesListed{Instances: down})
				for h.s.workers["a"] != nil {
					h.tickFor(100 * time.Millisecond)
				}
				again := workerInfo("a")
				again.Incarnation = 2
				h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{again}})
			}
			assert.Assert(t, !h.s.workers["a"].synced)
			bound := maxUnnoticedProofAge + expiryBound(h.s.Limits.MaxLease)
			for !h.s.workers["a"].synced {
				h.tickFor(100 * time.Millisecond)
				h.answerHolds(nil, "a")
				assert.Assert(t, h.now.Sub(began) <= bound+time.Second)
			}
			assert.Assert(t, h.now.Sub(began) > bound, "settled after %v", h.now.Sub(began))
		})
	}
}

// A scheduling node that may have been replaced must not take an instance out of service beside its successor.
func TestNoInstanceOrderWithoutAProof(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.tickCutOff(MaxActingProofAge+time.Second, nil)
	h.openWave(1, "m-a")
	h.tickCutOff(2*time.Second, nil)
	assert.Equal(t, len(h.maintainedInstances()), 0)
	for range 3 {
		h.heal(time.Second, nil)
		h.storeFor(200 * time.Millisecond)
		h.apply(InstancesListed{Instances: instancesOf("a", "b")})
	}
	assert.DeepEqual(t, h.maintainedInstances(), []string{"m-a"})
}

// A scheduling node that may have been replaced must not stop a long-running task to move it: its successor may have stopped the others.
func TestDrainingWorkerIsNotVacatedWithoutAProof(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].LongRunning = true
	h.accept(j)
	lists := runningLists(h.confirmStarts(), 100)
	h.register("b")
	h.tickCutOff(MaxActingProofAge+500*time.Millisecond, lists)
	draining := workerInfo("a")
	draining.Draining = true
	h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{draining}})
	h.tickCutOff(time.Second, lists)
	assert.Equal(t, len(h.stops), 0)
	h.heal(time.Second, lists)
	assert.Equal(t, len(h.stops), 1)
}

// A scheduling node that may have been replaced must not repeat a start order: its successor may have started the task elsewhere.
func TestUnansweredStartIsNotRepeatedWithoutAProof(t *testing.T) {
	for name, c := range map[string]struct {
		cut     time.Duration
		repeats int
	}{
		"recent proof": {time.Second, 1},
		"old proof":    {MaxActingProofAge + time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.accept(singleTaskJob("0000000000000001"))
			assert.Equal(t, len(h.starts), 1)
			f := h.starts[0]
			h.starts = nil
			h.tickCutOff(c.cut, nil)
			h.apply(StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: errNoAnswer})
			assert.Equal(t, len(h.starts), c.repeats)
		})
	}
}

// A scheduling node that may have been replaced must not restart a straggler: its successor may have started the task elsewhere.
func TestStragglerIsNotRestartedWithoutAProof(t *testing.T) {
	for name, speculative := range map[string]bool{"stopped first": false, "second run": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b", "c", "d", "e")
			j := fourTaskJob()
			j.Steps[0].Speculative = speculative
			h.accept(j)
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 4)
			const step = 100 * time.Millisecond
			stalls := int((MaxActingProofAge + time.Second) / step)
			var lists map[string]beryllatch.WorkerLists
			for n := range stalls + 20 {
				lists = runningLists(starts, n)
				lists[starts[0].Worker.ID].Running[0].Percent = min(n, stalls)
				h.tickCutOff(step, lists)
			}
			assert.Equal(t, len(h.stops)+len(h.starts), 0)
			h.heal(200*time.Millisecond, lists)
			assert.Equal(t, len(h.stops)+len(h.starts), 1)
		})
	}
}

// A heartbeat that was answered after the proof was sent may have been stored after a takeover, for which another node did not wait for it.
func TestHeartbeatCountsOnlyBeforeTheProof(t *testing.T) {
	for name, before := range map[string]bool{"answered before the request": true, "answered after the request": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.deferConfirmation = true
			h.peersLag = 200 * time.Millisecond
			sent := h.now
			if before {
				h.apply(HeartbeatStored{Sent: sent})
			}
			for h.confirmations == 0 {
				h.tickFor(100 * time.Millisecond)
			}
			h.now = h.now.Add(50 * time.Millisecond)
			if !before {
				h.apply(HeartbeatStored{Sent: sent})
			}
			h.confirmations--
			h.apply(EpochConfirmed{Current: true})
			h.tickCutOff(MaxActingProofAge+time.Second, nil)
			assert.Equal(t, h.s.mayAct(), before)
		})
	}
}

// The status of a wave is written under the condition of the duty row: a node that learns there that it is replaced must not go on.
func TestConflictOfAWaveStatusEndsTheEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		resigns bool
	}{
		"stored":    {nil, false},
		"no answer": {&beryllatch.UnavailableError{Err: errCutOff}, false},
		"conflict":  {&beryllatch.RowConflictError{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.openWave(1, "m-a")
			assert.Assert(t, slices.Contains(h.otherEffects, Effect(WriteWaveStatus{Wave: 1})))
			h.apply(StatusWritten{Wave: 1, Err: c.err})
			assert.Equal(t, h.resigns(), c.resigns)
		})
	}
}

// aheadBy returns t with its wall clock set ahead of its monotonic reading, as after a suspension of the machine.
func aheadBy(t time.Time, d time.Duration) time.Time {
	// A time with a monotonic reading holds it in its second word; Add moves both clocks.
	ahead := t.Add(d)
	p := (*[2]int64)(unsafe.Pointer(&ahead)) //nolint:gosec // No other way sets the two clocks apart.
	p[1] -= int64(d)
	return ahead
}

// Only one clock shows the age of a proof if the machine was suspended, or if its time of day was set back: the larger age counts.
func TestProofAgeByBothClocks(t *testing.T) {
	const age, shift = 100 * time.Millisecond, 5 * time.Second
	for name, c := range map[string]struct {
		ahead, want time.Duration
	}{
		"both agree":           {0, age},
		"suspended":            {shift, age + shift},
		"time of day set back": {-shift, age},
	} {
		t.Run(name, func(t *testing.T) {
			proven := time.Now()
			now := aheadBy(proven.Add(age), c.ahead)
			assert.Equal(t, now.Sub(proven), age, "the monotonic clock")
			assert.Equal(t, now.Round(0).Sub(proven.Round(0)), age+c.ahead, "the wall clock")
			s := testScheduler(1, 7)
			s.now, s.confirmed, s.proof.storeAt = now, true, proven
			assert.Equal(t, s.proofAge(), c.want)
			assert.Equal(t, s.mayAct(), c.want <= MaxActingProofAge)
		})
	}
}
