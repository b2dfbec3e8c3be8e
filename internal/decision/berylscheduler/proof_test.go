package berylscheduler

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

var errCutOff = errors.New("the store is not reached")

// refuseConfirmations reports all requests for a confirmation as failed, as to a node that doesn't reach the store.
func (h *harness) refuseConfirmations() {
	h.t.Helper()
	h.deferConfirmation = true
	for h.confirmations > 0 {
		h.confirmations--
		h.apply(EpochConfirmed{Err: errCutOff})
	}
}

// tickCutOff advances the clock by d without an answer of the store; the holds of the unanswered workers fail, the others are answered
// with the given lists.
func (h *harness) tickCutOff(d time.Duration, lists map[string]beryllatch.WorkerLists, unanswered ...string) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.refuseConfirmations()
		h.tickFor(100 * time.Millisecond)
		h.refuseConfirmations()
		h.answerHolds(lists, unanswered...)
		for len(h.commits) > 0 {
			h.failCommit(&beryllatch.UnavailableError{Err: errCutOff})
		}
	}
}

// A successor counts the leases of workers that it can't reach as expired when the longest possible one has passed since it took over. The
// scheduling node that it has replaced, and that reaches them, must not extend them for longer.
func TestCutOffSchedulingNodeLetsItsLeasesExpire(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	lists := runningLists(h.confirmStarts(), 10)
	h.tickFor(200 * time.Millisecond)
	h.answerHolds(lists)
	limit := h.clock() + h.s.Limits.MaxLease
	last := time.Duration(0)
	for range 200 {
		h.tickCutOff(100*time.Millisecond, lists)
		for _, hold := range h.holds {
			assert.Assert(t, hold.Order.LeaseEnd <= limit, "a lease until %s, %s after the proof", hold.Order.LeaseEnd, h.s.proofAge())
			last = max(last, hold.Order.LeaseEnd)
		}
	}
	assert.Assert(t, last > limit-2*time.Second, "the leases are extended as long as that is safe")
}

// While the store answers no node, work that was accepted goes on as long as all other nodes say that they have not taken over. Their word
// counts for PeerProofLimit after the last heartbeat.
func TestWorkGoesOnByTheWordOfAllPeers(t *testing.T) {
	for name, c := range map[string]struct {
		lag, heartbeatAge time.Duration
		starts            int
	}{
		"all nodes":          {time.Second, 0, 1},
		"one is missing":     {0, 0, 0},
		"old word":           {2 * MaxActingProofAge, 0, 0},
		"old heartbeat":      {time.Second, PeerProofLimit, 0},
		"limit not reached":  {time.Second, PeerProofLimit - 2*MaxActingProofAge, 1},
		"heartbeat long ago": {time.Second, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			j := singleTaskJob("0000000000000001")
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[1].After = []int{0}
			h.accept(j)
			first := h.confirmStarts()
			assert.Equal(t, len(first), 1)
			h.apply(HeartbeatStored{Sent: h.now.Add(-c.heartbeatAge)})
			h.tickFor(2 * proofInterval)
			h.peersLag = c.lag
			h.tickCutOff(MaxActingProofAge+time.Second, runningLists(first, 50))
			h.tickCutOff(200*time.Millisecond, map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
				{Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, Outcome: beryllatch.RunDone},
			}}})
			assert.Equal(t, len(h.starts), c.starts)
		})
	}
}

// The word of all peers also shows that a lease has expired that nobody else can have extended.
func TestLeaseExpiresByTheWordOfAllPeers(t *testing.T) {
	for lag, starts := range map[time.Duration]int{0: 0, time.Second: 1, 2 * leaseTime: 0} {
		t.Run(lag.String(), func(t *testing.T) {
			h := newHarness(t)
			h.register("a")
			h.accept(singleTaskJob("0000000000000001"))
			h.confirmStarts()
			h.register("b")
			h.apply(HeartbeatStored{Sent: h.now})
			h.tickFor(2 * proofInterval)
			h.peersLag = lag
			h.tickCutOff(h.s.workers["a"].leasesExpireBy.Sub(h.now), nil, "a")
			assert.Equal(t, len(h.starts), 0, "the word is older than the end of the lease")
			h.tickCutOff(lag+time.Second, nil, "a")
			assert.Equal(t, len(h.starts), starts)
		})
	}
}

// After a pause of the process in an outage of the store, the word of all peers from after it is enough.
func TestWorkGoesOnAfterAPauseInAnOutage(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.apply(HeartbeatStored{Sent: h.now})
	h.tickFor(2 * proofInterval)
	h.peersLag = 300 * time.Millisecond
	h.tickCutOff(time.Second, nil)
	assert.Assert(t, h.s.mayAct())
	h.now = h.now.Add(pauseThreshold)
	h.tickCutOff(200*time.Millisecond, nil)
	assert.Assert(t, !h.s.mayAct(), "their word is from before the pause")
	h.tickCutOff(time.Second, nil)
	assert.Assert(t, h.s.mayAct())
}

// At a slow store, confirmations must not take the room of transactions that prove as much; they come if those are not answered.
func TestTransactionInFlightTakesThePlaceOfAConfirmation(t *testing.T) {
	h := newHarness(t)
	h.deferConfirmation = true
	h.submit(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.commits), 1)
	h.tickFor(oldProof - 100*time.Millisecond)
	assert.Equal(t, h.confirmations, 0)
	h.tickFor(200 * time.Millisecond)
	assert.Equal(t, h.confirmations, 1)
}

// A job whose pool is known has no unknown runs: a silent worker of another pool must not hold it up.
func TestUnknownRunsOfAnotherPoolHoldNothingUp(t *testing.T) {
	h, stored, _ := usedWorkers(t, 1)
	j := singleTaskJob("0000000000000009")
	j.Steps[0].Needs.CPUMilli = 12000
	h.submit(j)
	h.storeInto(stored)
	next := h.takeOver(stored)
	for _, w := range next.s.sortedWorkers {
		w.info.Pool, w.storedPool = "other", "other"
	}
	silent := next.s.sortedWorkers[0].info.ID
	next.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("z")}})
	for range 10 {
		next.storeInto(stored)
		next.tickFor(100 * time.Millisecond)
		next.answerHolds(nil, silent)
	}
	assert.Assert(t, slices.ContainsFunc(next.starts, func(f StartRun) bool { return strings.HasPrefix(f.Order.Task, j.ID) }))
}

// After a takeover, runs on workers that have not listed them count against their team's ceiling as far as they may exist.
func TestTakeoverCountsUnknownRunsAgainstTheCeiling(t *testing.T) {
	h, stored, _ := largeRun(t)

	next := h.takeOver(stored)
	next.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{workerInfo("b")}})
	for i := range 3 {
		k := singleTaskJob(fmt.Sprintf("000000000000000%d", i+2))
		k.Steps[0].Needs.CPUMilli = 5000
		next.submit(k)
	}
	for range 5 {
		next.storeInto(stored)
		next.tickFor(100 * time.Millisecond)
		next.answerHolds(nil, "a")
	}
	assert.Equal(t, len(next.starts), 1, "12 of 20 cores may be in use on the worker that has not answered")
}

// A scheduling node without a proof that nobody has taken over starts nothing, also what never ran, and orders no instance.
func TestNothingStartsWithoutAProof(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickCutOff(MaxActingProofAge+time.Second, nil)
	j := singleTaskJob("0000000000000001")
	h.submit(j)
	// The job is stored by a transaction that was sent before the cut.
	h.s.jobs[j.ID].rows.jobStored = true
	h.tickCutOff(time.Second, nil)
	assert.Equal(t, len(h.starts), 0)
	h.deferConfirmation = false
	h.tickFor(200 * time.Millisecond)
	h.storeAll()
	assert.Equal(t, len(h.starts), 1)
}

// Issue 33: a scheduling node is cut off with worker b, while its successor extends the lease of a run on worker a. The run must not be
// written off and its task started again on b.
func TestCutOffSchedulingNodeStartsNothingTwice(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.register("b")
	h.tickCutOff(40*time.Second, nil, "a")
	assert.Equal(t, len(h.starts), 0, "the run goes on under the leases of the successor")
	assert.Assert(t, !slices.Contains(h.decisions, "run_lost"))
	h.deferConfirmation = false
	h.tickFor(5 * time.Second)
	h.answerHolds(nil, "a")
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts), 1, "nobody has taken over, so the lease has expired")
}
