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

func keyedArrival(id string) RequestArrived {
	e := arrival(id)
	e.IdempotencyKey, e.BodyHash = "k", "b"
	return e
}

func asIdempotent(e RequestArrived) RequestArrived {
	e.Idempotent = true
	return e
}

func executionAnswered(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeAnswered, Duration: 50 * time.Millisecond,
		Replayable: true,
	}
}

func executionLost(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost,
		Duration: 50 * time.Millisecond, Replayable: true,
	}
}

func executionRefused(id string, attempt int) ExecutionEnded {
	return ExecutionEnded{
		ID: id, Attempt: attempt, Outcome: beryllatch.OutcomeRefused, Reason: beryllatch.ReasonWorkerRefused,
		Replayable: true,
	}
}

// Guards against a second execution for a repeat, and against a repeat that gets another answer than the first.
func TestClaimRepeat(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyedArrival("q1"))
	s.run(p, keyedArrival("q-running"))
	s.run(p, executionAnswered("q1", 1))
	s.run(p, keyedArrival("q-replay"))
	other := keyedArrival("q-other-body")
	other.BodyHash = "c"
	s.run(p, other)
	key := claimKey("red", "price", "k")
	done := p.claims[key]
	done.Row.Answer, done.Row.AnswerOmitted = nil, true
	p.claims[key] = done
	s.run(p, keyedArrival("q-large-answer"))
	s.golden(t, "claim_repeat")
}

// Guards against a dispatch before the claim is known to be stored, and against a key that stays claimed after a write of
// the claim, or of its outcome, without an answer.
func TestClaimAnswerLost(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.results = []callResult{callLost}
	s.run(p, keyedArrival("q-applied"))
	p.results = []callResult{callLost}
	s.run(p, executionAnswered("q-applied", 1))
	s.runTicks(p, 6)
	e := keyedArrival("q-dropped")
	e.IdempotencyKey = "k2"
	p.results = []callResult{callDropped}
	s.run(p, e)
	s.golden(t, "claim_answer_lost")
}

// Guards against a wrong not_run, or a second execution, when a repeat finds the claim of a node that has crashed: that node
// may have dispatched the request.
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
				e := keyedArrival(id)
				e.Idempotent = c.idempotent
				s.run(p, e)
				s.advance(time.Second)
				s.run(p, Renewed{SentAt: s.now, HeadVersion: 1})
			}
			s.golden(t, c.name)
		})
	}
}

// Guards against a claim that stays in force after a request that is certain not to have run.
func TestClaimReleased(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyedArrival("q-refused"))
	e := executionRefused("q-refused", 1)
	e.Replayable = false
	p.results = []callResult{callFailed}
	s.run(p, e)
	s.runTicks(p, 6)
	s.send(keyedArrival("q-abandoned"))
	write := s.lastEffects
	s.run(p, RequestAbandoned{ID: "q-abandoned"})
	for _, x := range write {
		if a := p.answer(x); a != nil {
			s.run(p, a)
		}
	}
	s.run(p, keyedArrival("q-runs"))
	s.golden(t, "claim_released")
}

// Guards against running a request with an idempotency key, which must not run twice, while its claim cannot be written.
func TestClaimUnavailable(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.results = []callResult{callFailed}
	s.run(p, keyedArrival("q-failed"))
	p.results = []callResult{callFailed}
	s.run(p, asIdempotent(keyedArrival("q-idempotent")))
	p.results = []callResult{
		callLost, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed, callFailed,
	}
	e := keyedArrival("q-doubtful")
	e.IdempotencyKey = "k2"
	s.run(p, e)
	s.runTicks(p, 50)
	s.golden(t, "claim_unavailable")
}

// Guards against waiting for the platform, or writing a claim, in outage mode.
func TestClaimInOutage(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, arrival("q-first"))
	s.advance(time.Second)
	s.r.tenure.renewedUntil = s.now.Mono
	s.run(p, keyedArrival("q-once"))
	s.run(p, asIdempotent(keyedArrival("q-idempotent")))
	s.golden(t, "claim_outage")
}

// Guards against releasing a row that still holds another node's claim, after a takeover of it had no answer.
func TestClaimTakeoverLost(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	key := claimKey("red", "price", "k")
	p.claims[key] = ClaimRead{Version: 3, Row: ClaimRow{
		Team: "red", Queue: "price", BodyHash: "b", Idempotent: true, Nonce: "n2-1/1", Incarnation: "n2-1",
		State: ClaimUnknown,
	}}
	p.results = []callResult{callAnswered, callAnswered, callDropped, callFailed}
	s.run(p, asIdempotent(keyedArrival("q1")))
	s.send(RequestAbandoned{ID: "q1"})
	p.results = []callResult{callFailed}
	s.runTicks(p, 115)
	s.golden(t, "claim_takeover_lost")
	if row := p.claims[key].Row; row.State != ClaimUnknown {
		t.Errorf("the other node's claim became %s", row.State)
	}
}

// Guards against refusing repeats with request_in_progress for a day, after this node has given up recording an outcome.
func TestClaimLeftBehind(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	p.claims[claimKey("red", "price", "k")] = ClaimRead{Version: 1, Row: ClaimRow{
		Team: "red", Queue: "price", BodyHash: "b", Nonce: "n1-1/0", Incarnation: "n1-1", RequestID: "q-earlier",
		State: ClaimClaimed,
	}}
	s.run(p, keyedArrival("q1"))
	s.golden(t, "claim_left_behind")
}

// Guards against a graceful stop that does not wait until an outcome is recorded, and against one that waits forever.
func TestClaimAtStop(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	s.run(p, keyedArrival("q1"))
	s.send(executionAnswered("q1", 1))
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
