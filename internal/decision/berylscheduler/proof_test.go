package berylscheduler

import (
	"errors"
	"slices"
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

// A scheduling node without a proof that nobody has taken over starts nothing, also what never ran, and orders no instance.
func TestNothingStartsWithoutAProof(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickCutOff(maxActingProofAge+time.Second, nil)
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
