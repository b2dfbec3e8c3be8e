package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// callClaim makes a call to the table on the row of a claim.
func (s *fleetSimulation) callClaim(n *simNode, x Effect, id string) {
	failed := Event(ClaimWritten{ID: id, Result: WriteFailed})
	unknown := Event(ClaimWritten{ID: id, Result: WriteUnknown})
	if _, ok := x.(ReadClaim); ok {
		failed, unknown = ClaimRead{ID: id, Failed: true}, ClaimRead{ID: id, Failed: true}
	}
	if n.losesClaimAnswer {
		process := n.process
		n.losesClaimAnswer = false
		s.after(s.latency(), func() { s.platform.answer(x) })
		s.after(callTimeout, func() { s.deliver(n, process, unknown) })
		return
	}
	s.call(n, func() Event { return s.platform.answer(x) }, failed, unknown)
}

// orderSimulation submits non-idempotent orders, some of them repeatedly through several nodes, and compares the starts at
// the workers with the replies to the callers.
type orderSimulation struct {
	*fleetSimulation
	submitted int
	// orders maps the request id of each submission to its order.
	orders map[string]string
	// startsByOrder counts the starts of each order, startsBySubmission those of each request id.
	startsByOrder, startsBySubmission map[string]int
	// reportedNotRun holds the request ids that were refused as not run.
	reportedNotRun map[string]bool
	// unanswered maps the request ids without an answer to the reason of their refusal.
	unanswered map[string]string
	// finished and replayed count the answers, unknown the refusals with an unknown run state.
	finished int
	replayed int
	unknown  int
}

func newOrderSimulation(seed uint64, f faults) *orderSimulation {
	s := &orderSimulation{
		fleetSimulation: newFleetSimulation(seed, f), orders: map[string]string{}, startsByOrder: map[string]int{}, startsBySubmission: map[string]int{},
		reportedNotRun: map[string]bool{}, unanswered: map[string]string{},
	}
	s.onEffect, s.onStart = s.observe, s.start
	s.workTime = func() time.Duration { return time.Second }
	s.run(2 * reserveSpread)
	return s
}

// submit sends the order to the node, with an idempotency key if keyed is true. An order without a key must not be repeated.
func (s *orderSimulation) submit(n *simNode, order string, keyed bool) {
	s.submitted++
	e := arrival(fmt.Sprintf("s%d", s.submitted))
	e.Deadline = 30 * time.Second
	if keyed {
		e.IdempotencyKey, e.BodyHash = order, "b"
	}
	s.orders[e.ID], s.unanswered[e.ID] = order, "no reply"
	s.deliver(n, n.process, e)
}

func (s *orderSimulation) start(submission string) {
	order := s.orders[submission]
	s.startsByOrder[order]++
	s.startsBySubmission[submission]++
	if s.startsByOrder[order] > 1 {
		s.fail("order %s starts again", order)
	}
	if s.reportedNotRun[submission] {
		s.fail("%s starts after its refusal as not run", submission)
	}
}

func (s *orderSimulation) observe(_ *simNode, x Effect) {
	switch x := x.(type) {
	case Finish:
		s.finished++
		delete(s.unanswered, x.ID)
	case ReplayAnswer:
		s.replayed++
		delete(s.unanswered, x.ID)
	case Refuse:
		s.unanswered[x.ID] = string(x.Refusal.Reason)
		if x.Refusal.RunState == beryllatch.RunStateUnknown {
			s.unknown++
		}
		if s.reportedNotRun[x.ID] = x.Refusal.RunState == beryllatch.RunStateNotRun; s.reportedNotRun[x.ID] && s.startsBySubmission[x.ID] > 0 {
			s.fail("%s is refused as not run after its start", x.ID)
		}
	}
}

// onClaimWrite calls do when a node writes a claim for the next time.
func (s *orderSimulation) onClaimWrite(do func()) {
	s.onEffect = func(n *simNode, x Effect) {
		s.observe(n, x)
		if _, ok := x.(WriteClaim); ok {
			s.onEffect = s.observe
			do()
		}
	}
}

// simulateOrder returns a function that runs fault, which submits the order "o" through the node owner, and then repeats the
// order through the other two nodes.
func simulateOrder(fault func(s *orderSimulation, owner, other *simNode)) func(uint64, faults) *orderSimulation {
	return func(seed uint64, f faults) *orderSimulation {
		s := newOrderSimulation(seed, f)
		n := seed % 3
		owner, other, third := s.nodes[n], s.nodes[(n+1)%3], s.nodes[(n+2)%3]
		fault(s, owner, other)
		s.submit(other, "o", true)
		s.run(20 * time.Second)
		s.submit(third, "o", true)
		s.run(time.Minute)
		return s
	}
}

func repeatWhileRunning(s *orderSimulation, owner, _ *simNode) {
	s.submit(owner, "o", true)
	s.run(200 * time.Millisecond)
}

func crashesBeforeDispatch(s *orderSimulation, owner, _ *simNode) {
	s.onClaimWrite(func() { owner.down = true })
	s.submit(owner, "o", true)
	s.run(10 * time.Second)
}

func crashesBeforeRecord(s *orderSimulation, owner, _ *simNode) {
	repeatWhileRunning(s, owner, nil)
	owner.down = true
	s.run(10 * time.Second)
}

// otherLosesAnswer loses the answer to the other node's write of a claim, which fails since the owner holds the claim.
func otherLosesAnswer(s *orderSimulation, owner, other *simNode) {
	repeatWhileRunning(s, owner, nil)
	other.losesClaimAnswer = true
}

func ownerLosesAnswer(s *orderSimulation, owner, _ *simNode) {
	owner.losesClaimAnswer = true
	s.submit(owner, "o", true)
	s.run(2 * time.Second)
}

// frozenBeforeDispatch freezes the owner between its claim and its dispatch for longer than its tenure.
func frozenBeforeDispatch(s *orderSimulation, owner, _ *simNode) {
	s.onClaimWrite(func() { s.freeze(owner, 12*time.Second, false) })
	s.submit(owner, "o", true)
	s.run(10 * time.Second)
}

func frozenBeforeRecord(s *orderSimulation, owner, _ *simNode) {
	repeatWhileRunning(s, owner, nil)
	s.freeze(owner, 15*time.Second, true)
	s.run(10 * time.Second)
}

func workerLosesAnswer(s *orderSimulation, owner, _ *simNode) {
	s.answerLost = func() bool { return true }
	s.submit(owner, "o", true)
	s.run(5 * time.Second)
}

// exploreOrders submits and repeats orders under random faults.
func exploreOrders(seed uint64, f faults) *orderSimulation {
	s := newOrderSimulation(seed, f)
	s.unreliable = true
	s.answerLost = func() bool { return s.rand.IntN(10) == 0 }
	s.workTime = func() time.Duration { return time.Duration(s.rand.IntN(3000)) * time.Millisecond }
	for step := 0; step < modelSteps && s.violation == ""; step++ {
		order := fmt.Sprintf("o%d", step)
		s.submit(s.nodes[s.rand.IntN(3)], order+"-once", false)
		for range 1 + s.rand.IntN(3) {
			s.submit(s.nodes[s.rand.IntN(3)], order, true)
			s.after(time.Duration(s.rand.IntN(30000))*time.Millisecond, func() {
				s.submit(s.nodes[s.rand.IntN(3)], order, true)
			})
		}
		n := s.nodes[s.rand.IntN(3)]
		switch s.rand.IntN(12) {
		case 0:
			n.down = true
			s.after(time.Duration(s.rand.IntN(20))*time.Second, s.bootAll)
		case 1:
			s.freeze(n, time.Duration(s.rand.IntN(12000))*time.Millisecond, s.rand.IntN(2) == 0)
		case 2:
			n.outage = true
			s.after(time.Duration(s.rand.IntN(4000))*time.Millisecond, func() { n.outage = false })
		case 3:
			n.losesClaimAnswer = true
		}
		s.run(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
	}
	s.run(2 * time.Minute)
	return s
}

// Guards against an order that starts twice, and against a refusal as not run of an order that has started. Nodes crash and
// freeze at any step, answers of the table and of workers are lost, and orders are repeated through other nodes.
func TestOrdersOnce(t *testing.T) {
	finished, replayed, unknown := 0, 0, 0
	for seed := range uint64(modelSeeds) {
		sim := exploreOrders(seed, faults{})
		assert.Equal(t, sim.violation, "", "seed %d", seed)
		finished, replayed, unknown = finished+sim.finished, replayed+sim.replayed, unknown+sim.unknown
	}
	t.Logf("%d finished, %d replayed, %d unknown", finished, replayed, unknown)
	for _, n := range []int{finished, replayed, unknown} {
		assert.Assert(t, n > 10*modelSeeds)
	}
}

// Guards against reporting an order as not run if its node crashed between the claim and the dispatch.
func TestOrderOfDeadNode(t *testing.T) {
	sim := simulateOrder(crashesBeforeDispatch)(0, faults{})
	assert.Equal(t, sim.violation, "")
	assert.Equal(t, sim.startsByOrder["o"], 0)
	assert.Equal(t, sim.unknown, 2)
}

// Guards against a TestOrdersOnce that also passes without the claims, without reading a claim back after a lost answer, or
// without the rules for claims of expired incarnations and for attempts that may have run.
func TestOrdersNeedTheirMechanisms(t *testing.T) {
	again, falselyNotRun := "starts again", "as not run after its start"
	for _, c := range []struct {
		name      string
		simulate  func(uint64, faults) *orderSimulation
		faults    faults
		violation string
	}{
		{"repeat through another node", simulateOrder(repeatWhileRunning), faults{ignoreClaims: true}, again},
		{"death before the record", simulateOrder(crashesBeforeRecord), faults{retakeUnknown: true}, again},
		{"freeze before the dispatch", simulateOrder(frozenBeforeDispatch), faults{retakeUnknown: true}, again},
		{"freeze before the record", simulateOrder(frozenBeforeRecord), faults{retakeUnknown: true}, again},
		{"lost answer of the claim's write", simulateOrder(ownerLosesAnswer), faults{ignoreClaims: true}, again},
		{"lost answer of a losing write", simulateOrder(otherLosesAnswer), faults{trustClaimWrite: true}, again},
		{"lost answer of a worker, repeated", simulateOrder(workerLosesAnswer), faults{retakeUnknown: true}, again},
		{"lost answer of a worker, retried", simulateOrder(workerLosesAnswer), faults{retryUnknown: true}, again},
		{"lost answer of a worker, refused", simulateOrder(workerLosesAnswer), faults{denyRun: true}, falselyNotRun},
		{"all faults without claims", exploreOrders, faults{ignoreClaims: true}, again},
		{"all faults without reading back", exploreOrders, faults{trustClaimWrite: true}, again},
		{"all faults with claims taken over", exploreOrders, faults{retakeUnknown: true}, again},
		{"all faults with retries of unknown", exploreOrders, faults{retryUnknown: true}, again},
		{"all faults with refusals as not run", exploreOrders, faults{denyRun: true}, falselyNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < modelSeeds && !strings.Contains(found, c.violation); seed++ {
				assert.Equal(t, c.simulate(seed, faults{}).violation, "", "seed %d with the mechanism", seed)
				found = c.simulate(seed, c.faults).violation
			}
			assert.Assert(t, strings.Contains(found, c.violation), "found %q", found)
			t.Log(found)
		})
	}
}
