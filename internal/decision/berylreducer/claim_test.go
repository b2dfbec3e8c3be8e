package berylreducer

import (
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

const tickInterval = 100 * time.Millisecond

func arrival(id string) RequestArrived {
	return RequestArrived{ID: id, KeyHash: strings.Repeat("1", 64), Queue: "price", Deadline: 5 * time.Second}
}

func keyed(id string) RequestArrived {
	e := arrival(id)
	e.IdempotencyKey, e.BodyHash = "k", "b"
	return e
}

func idempotent(e RequestArrived) RequestArrived {
	e.Idempotent = true
	return e
}

func answered(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeAnswered, Duration: 50 * time.Millisecond,
		Replayable: true,
	}
}

func lost(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost,
		Duration: 50 * time.Millisecond, Replayable: true,
	}
}

func refusedBy(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeRefused, Reason: beryllatch.ReasonWorkerRefused,
		Replayable: true,
	}
}

// Guards against a second execution for a repeat, and against a repeat that gets another answer than the first.
func TestClaimRepeat(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyed("q1"))
	s.run(p, keyed("q-running"))
	s.run(p, answered("q1", 1))
	s.run(p, keyed("q-replay"))
	other := keyed("q-other-body")
	other.BodyHash = "c"
	s.run(p, other)
	key := claimKey("red", "price", "k")
	done := p.claims[key]
	done.Row.Answer, done.Row.AnswerOmitted = nil, true
	p.claims[key] = done
	s.run(p, keyed("q-large-answer"))
	s.golden(t, "claim_repeat")
}

// Guards against a dispatch under a claim that is not surely written, and against a key that is lost with an answer.
func TestClaimAnswerLost(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.next = []callResult{callLost}
	s.run(p, keyed("q-applied"))
	p.next = []callResult{callLost}
	s.run(p, answered("q-applied", 1))
	s.runTicks(p, 6)
	e := keyed("q-dropped")
	e.IdempotencyKey = "k2"
	p.next = []callResult{callDropped}
	s.run(p, e)
	s.golden(t, "claim_answer_lost")
}

// Guards against a wrong not_run, or a second execution, after a node died between its claim and its dispatch.
func TestClaimOfLapsedNode(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
	}{{"claim_lapsed", false}, {"claim_lapsed_idempotent", true}} {
		t.Run(c.name, func(t *testing.T) {
			s, p := newSession(), newFakePlatform()
			s.start(sampleConfig())
			p.claims[claimKey("red", "price", "k")] = ClaimRead{Version: 1, Row: ClaimRow{
				Team: "red", Queue: "price", BodyHash: "b", Idempotent: c.idempotent,
				Nonce: "n2-1/1", Node: "n2", Incarnation: "n2-1", State: ClaimClaimed,
			}}
			for _, id := range []string{"q-first", "q-second"} {
				e := keyed(id)
				e.Idempotent = c.idempotent
				s.run(p, e)
				s.wait(time.Second)
				s.run(p, Renewed{SentAt: s.now, HeadVersion: 1})
			}
			s.golden(t, c.name)
		})
	}
}

// Guards against a claim that outlives a request that surely did not run.
func TestClaimReleased(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyed("q-refused"))
	e := refusedBy("q-refused", 1)
	e.Replayable = false
	p.next = []callResult{callFailed}
	s.run(p, e)
	s.runTicks(p, 6)
	s.send(keyed("q-abandoned"))
	write := s.last
	s.run(p, RequestAbandoned{ID: "q-abandoned"})
	for _, x := range write {
		if a := p.answer(x); a != nil {
			s.run(p, a)
		}
	}
	s.run(p, keyed("q-runs"))
	s.golden(t, "claim_released")
}

// Guards against running keyed work that must not be doubled while the platform is out of reach.
func TestClaimUnavailable(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.next = []callResult{callFailed}
	s.run(p, keyed("q-failed"))
	p.next = []callResult{callFailed}
	s.run(p, idempotent(keyed("q-idempotent")))
	p.next = []callResult{
		callLost, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed,
	}
	e := keyed("q-doubtful")
	e.IdempotencyKey = "k2"
	s.run(p, e)
	s.runTicks(p, 50)
	s.golden(t, "claim_unavailable")
}

// Guards against a wait for the platform, or a claim behind its back, while the node goes on by its peers' grants.
func TestClaimInOutage(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, arrival("q-first"))
	s.wait(time.Second)
	s.r.tenure.renewedUntil = s.now.Mono
	s.run(p, keyed("q-once"))
	s.run(p, idempotent(keyed("q-idempotent")))
	s.golden(t, "claim_outage")
}

// Guards against the release of a row that still is another node's, after a takeover whose answer was lost.
func TestClaimTakeoverLost(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	key := claimKey("red", "price", "k")
	p.claims[key] = ClaimRead{Version: 3, Row: ClaimRow{
		Team: "red", Queue: "price", BodyHash: "b", Idempotent: true, Nonce: "n2-1/1", Incarnation: "n2-1",
		State: ClaimUnknown,
	}}
	p.next = []callResult{callAnswered, callAnswered, callDropped, callFailed}
	s.run(p, idempotent(keyed("q1")))
	s.send(RequestAbandoned{ID: "q1"})
	p.next = []callResult{callFailed}
	s.runTicks(p, 115)
	s.golden(t, "claim_takeover_lost")
	if row := p.claims[key].Row; row.State != ClaimUnknown {
		t.Errorf("the other node's claim became %s", row.State)
	}
}

// Guards against request_in_progress for a day after this node has given up recording an outcome.
func TestClaimLeftBehind(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.claims[claimKey("red", "price", "k")] = ClaimRead{Version: 1, Row: ClaimRow{
		Team: "red", Queue: "price", BodyHash: "b", Nonce: "n1-1/0", Incarnation: "n1-1", RequestID: "q-earlier",
		State: ClaimClaimed,
	}}
	s.run(p, keyed("q1"))
	s.golden(t, "claim_left_behind")
}

// Guards against a stop that loses an outcome which could be recorded, and against one that waits for it without end.
func TestClaimAtStop(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyed("q1"))
	s.send(answered("q1", 1))
	s.run(p, StopRequested{})
	s.runTicks(p, int((shutdownGrace+claimStopWait)/tickInterval)-1)
	if s.r.tenure.deleting {
		t.Error("the node leaves while it could record an outcome")
	}
	s.runTicks(p, 100)
	if !s.r.tenure.deleting {
		t.Error("the node does not leave")
	}
}
