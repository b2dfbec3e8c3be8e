package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// callClaim sends a call on a claim's row to the table.
func (w *world) callClaim(n *simNode, x Effect, id string) {
	failed := Event(ClaimWritten{ID: id, Result: WriteFailed})
	unknown := Event(ClaimWritten{ID: id, Result: WriteUnknown})
	if _, ok := x.(ReadClaim); ok {
		failed, unknown = ClaimRead{ID: id, Failed: true}, ClaimRead{ID: id, Failed: true}
	}
	if n.losesClaim {
		process := n.process
		n.losesClaim = false
		w.after(w.latency(), func() { w.platform.answer(x) })
		w.after(callTimeout, func() { w.deliver(n, process, unknown) })
		return
	}
	w.call(n, func() Event { return w.platform.answer(x) }, failed, unknown)
}

// orderTrial submits non-idempotent orders, some of them again through other nodes, and compares what the workers started
// with what the callers were told.
type orderTrial struct {
	*world
	submitted int
	// orders holds the order of each submission.
	orders map[string]string
	// starts counts the starts of each order, and started those of each submission.
	starts, started map[string]int
	notRun          map[string]bool
	// replies holds the submissions without an answer, and why.
	replies  map[string]string
	finished int
	replayed int
	unknown  int
}

func newOrderTrial(seed uint64, f faults) *orderTrial {
	t := &orderTrial{
		world: newWorld(seed, f), orders: map[string]string{}, starts: map[string]int{}, started: map[string]int{},
		notRun: map[string]bool{}, replies: map[string]string{},
	}
	t.onEffect, t.onStart = t.observe, t.start
	t.workTime = func() time.Duration { return time.Second }
	t.run(2 * reserveSpread)
	return t
}

// submit sends the order through the node; without a key no repeat may follow.
func (t *orderTrial) submit(n *simNode, order string, keyed bool) {
	t.submitted++
	e := arrival(fmt.Sprintf("s%d", t.submitted))
	e.Deadline = 30 * time.Second
	if keyed {
		e.IdempotencyKey, e.BodyHash = order, "b"
	}
	t.orders[e.ID], t.replies[e.ID] = order, "no reply"
	t.deliver(n, n.process, e)
}

func (t *orderTrial) start(submission string) {
	order := t.orders[submission]
	t.starts[order]++
	t.started[submission]++
	if t.starts[order] > 1 {
		t.fail("order %s starts again", order)
	}
	if t.notRun[submission] {
		t.fail("%s starts after its refusal as not run", submission)
	}
}

func (t *orderTrial) observe(_ *simNode, x Effect) {
	switch x := x.(type) {
	case Finish:
		t.finished++
		delete(t.replies, x.ID)
	case ReplayAnswer:
		t.replayed++
		delete(t.replies, x.ID)
	case Refuse:
		t.replies[x.ID] = string(x.Refusal.Reason)
		if x.Refusal.RunState == beryllatch.RunStateUnknown {
			t.unknown++
		}
		if t.notRun[x.ID] = x.Refusal.RunState == beryllatch.RunStateNotRun; t.notRun[x.ID] && t.started[x.ID] > 0 {
			t.fail("%s is refused as not run after its start", x.ID)
		}
	}
}

// onClaim calls do once the node has sent the write of a claim.
func (t *orderTrial) onClaim(do func()) {
	t.onEffect = func(n *simNode, x Effect) {
		t.observe(n, x)
		if _, ok := x.(WriteClaim); ok {
			t.onEffect = t.observe
			do()
		}
	}
}

// playOrder submits one order through the first node and repeats it through the second and third.
func playOrder(fault func(t *orderTrial, owner, other *simNode)) func(uint64, faults) *orderTrial {
	return func(seed uint64, f faults) *orderTrial {
		t := newOrderTrial(seed, f)
		n := seed % 3
		owner, other, third := t.nodes[n], t.nodes[(n+1)%3], t.nodes[(n+2)%3]
		fault(t, owner, other)
		t.submit(other, "o", true)
		t.run(20 * time.Second)
		t.submit(third, "o", true)
		t.run(time.Minute)
		return t
	}
}

func repeatWhileRunning(t *orderTrial, owner, _ *simNode) {
	t.submit(owner, "o", true)
	t.run(200 * time.Millisecond)
}

func diesBeforeDispatch(t *orderTrial, owner, _ *simNode) {
	t.onClaim(func() { owner.down = true })
	t.submit(owner, "o", true)
	t.run(10 * time.Second)
}

func diesBeforeRecord(t *orderTrial, owner, _ *simNode) {
	repeatWhileRunning(t, owner, nil)
	owner.down = true
	t.run(10 * time.Second)
}

func loserLosesAnswer(t *orderTrial, owner, other *simNode) {
	repeatWhileRunning(t, owner, nil)
	other.losesClaim = true
}

func winnerLosesAnswer(t *orderTrial, owner, _ *simNode) {
	owner.losesClaim = true
	t.submit(owner, "o", true)
	t.run(2 * time.Second)
}

// frozenBeforeDispatch freezes the owner between its claim and its dispatch, for longer than its tenure.
func frozenBeforeDispatch(t *orderTrial, owner, _ *simNode) {
	t.onClaim(func() { t.freeze(owner, 12*time.Second, false) })
	t.submit(owner, "o", true)
	t.run(10 * time.Second)
}

func frozenBeforeRecord(t *orderTrial, owner, _ *simNode) {
	repeatWhileRunning(t, owner, nil)
	t.freeze(owner, 15*time.Second, true)
	t.run(10 * time.Second)
}

func workerLosesAnswer(t *orderTrial, owner, _ *simNode) {
	t.answerLost = func() bool { return true }
	t.submit(owner, "o", true)
	t.run(5 * time.Second)
}

// exploreOrders submits and repeats orders under random faults.
func exploreOrders(seed uint64, f faults) *orderTrial {
	t := newOrderTrial(seed, f)
	t.lossy = true
	t.answerLost = func() bool { return t.rand.IntN(10) == 0 }
	t.workTime = func() time.Duration { return time.Duration(t.rand.IntN(3000)) * time.Millisecond }
	for step := 0; step < modelSteps && t.broken == ""; step++ {
		order := fmt.Sprintf("o%d", step)
		t.submit(t.nodes[t.rand.IntN(3)], order+"-once", false)
		for range 1 + t.rand.IntN(3) {
			t.submit(t.nodes[t.rand.IntN(3)], order, true)
			t.after(time.Duration(t.rand.IntN(30000))*time.Millisecond, func() {
				t.submit(t.nodes[t.rand.IntN(3)], order, true)
			})
		}
		n := t.nodes[t.rand.IntN(3)]
		switch t.rand.IntN(12) {
		case 0:
			n.down = true
			t.after(time.Duration(t.rand.IntN(20))*time.Second, t.bootAll)
		case 1:
			t.freeze(n, time.Duration(t.rand.IntN(12000))*time.Millisecond, t.rand.IntN(2) == 0)
		case 2:
			n.outage = true
			t.after(time.Duration(t.rand.IntN(4000))*time.Millisecond, func() { n.outage = false })
		case 3:
			n.losesClaim = true
		}
		t.run(time.Duration(t.rand.IntN(3000)) * time.Millisecond)
	}
	t.run(2 * time.Minute)
	return t
}

// Guards against an order that starts twice, and against one refused as not run that has started, while nodes die and
// freeze at any step, answers of the table and of workers are lost, and orders are repeated through other nodes.
func TestOrdersOnce(t *testing.T) {
	finished, replayed, unknown := 0, 0, 0
	for seed := range uint64(modelSeeds) {
		trial := exploreOrders(seed, faults{})
		assert.Equal(t, trial.broken, "", "seed %d", seed)
		finished, replayed, unknown = finished+trial.finished, replayed+trial.replayed, unknown+trial.unknown
	}
	t.Logf("%d finished, %d replayed, %d unknown", finished, replayed, unknown)
	for _, n := range []int{finished, replayed, unknown} {
		assert.Assert(t, n > 10*modelSeeds)
	}
}

// Guards against an order of a node that died between its claim and its dispatch being taken for one that did not run.
func TestOrderOfDeadNode(t *testing.T) {
	trial := playOrder(diesBeforeDispatch)(0, faults{})
	assert.Equal(t, trial.broken, "")
	assert.Equal(t, trial.starts["o"], 0)
	assert.Equal(t, trial.unknown, 2)
}

// Guards against trials of orders that hold without claims, their read-back, the rule for claims of lapsed nodes, and the
// rules for attempts that may have run.
func TestOrdersNeedTheirMechanisms(t *testing.T) {
	again, falselyNotRun := "starts again", "as not run after its start"
	for _, c := range []struct {
		name   string
		play   func(uint64, faults) *orderTrial
		faults faults
		broken string
	}{
		{"repeat through another node", playOrder(repeatWhileRunning), faults{ignoreClaims: true}, again},
		{"death before the record", playOrder(diesBeforeRecord), faults{retakeUnknown: true}, again},
		{"freeze before the dispatch", playOrder(frozenBeforeDispatch), faults{retakeUnknown: true}, again},
		{"freeze before the record", playOrder(frozenBeforeRecord), faults{retakeUnknown: true}, again},
		{"lost answer of the claim's write", playOrder(winnerLosesAnswer), faults{ignoreClaims: true}, again},
		{"lost answer of a losing write", playOrder(loserLosesAnswer), faults{trustClaimWrite: true}, again},
		{"lost answer of a worker, repeated", playOrder(workerLosesAnswer), faults{retakeUnknown: true}, again},
		{"lost answer of a worker, retried", playOrder(workerLosesAnswer), faults{retryUnknown: true}, again},
		{"lost answer of a worker, refused", playOrder(workerLosesAnswer), faults{denyRun: true}, falselyNotRun},
		{"all faults without claims", exploreOrders, faults{ignoreClaims: true}, again},
		{"all faults without reading back", exploreOrders, faults{trustClaimWrite: true}, again},
		{"all faults with claims taken over", exploreOrders, faults{retakeUnknown: true}, again},
		{"all faults with retries of unknown", exploreOrders, faults{retryUnknown: true}, again},
		{"all faults with refusals as not run", exploreOrders, faults{denyRun: true}, falselyNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < modelSeeds && !strings.Contains(found, c.broken); seed++ {
				assert.Equal(t, c.play(seed, faults{}).broken, "", "seed %d with the mechanism", seed)
				found = c.play(seed, c.faults).broken
			}
			assert.Assert(t, strings.Contains(found, c.broken), "found %q", found)
			t.Log(found)
		})
	}
}
