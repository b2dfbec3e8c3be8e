package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"pgregory.net/rapid"
)

// operatorSimulation calls random nodes for random changes under random faults, and checks the replies against the writes.
type operatorSimulation struct {
	*operateSimulation
	draw    func(n int) int
	changes map[string]berylplan.Change
	// applied counts, by operation id, the writes that applied its changes; appliedBy counts them by call id.
	applied   map[string]int
	appliedBy map[string]int
	// accepted and refused hold, by operation id, the recorded outcomes that were reported.
	accepted map[string]bool
	refused  map[string]bool
	// refusedUnrecorded holds, by call id, the calls that were refused without a recorded outcome, until they are repeated.
	refusedUnrecorded map[string]bool
	violation         string
}

func newOperatorSimulation(draw func(n int) int) *operatorSimulation {
	s := &operatorSimulation{
		operateSimulation: newOperateSimulation(wideConfig(1+draw(2)), "n1", "n2", "n3"), draw: draw, changes: map[string]berylplan.Change{},
		applied: map[string]int{}, appliedBy: map[string]int{}, accepted: map[string]bool{}, refused: map[string]bool{}, refusedUnrecorded: map[string]bool{},
	}
	s.onWrite = s.checkWrite
	s.onReply = s.checkReply
	return s
}

func (s *operatorSimulation) checkWrite(x WriteConfig) {
	last := x.Config.Operations
	if len(last) > 0 && last[len(last)-1].Version == x.Config.Version && last[len(last)-1].Refused == "" {
		id, call := last[len(last)-1].ID, x.CallID[:strings.LastIndex(x.CallID, ".")]
		s.applied[id]++
		s.appliedBy[call]++
		switch {
		case s.refusedUnrecorded[call] || s.refused[id]:
			s.violation = "a change took effect after it was called not accepted: " + call
		case s.applied[id] > 1:
			s.violation = "a change was made twice: " + id
		}
	}
	planned := 0
	for _, i := range x.Config.Instances {
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			planned++
		}
	}
	if planned > x.Config.Services["quotes"].MaxUnavailable {
		s.violation = "budget"
	}
}

func (s *operatorSimulation) checkReply(x ReplyOperator) {
	id := x.CallID[len("call-n1-"):]
	switch {
	case x.Outcome == OutcomeAccepted:
		s.accepted[id] = true
		if s.applied[id] == 0 {
			s.violation = "called accepted without effect: " + id
		}
	case x.Outcome == OutcomeNotAccepted && x.Version > 0:
		s.refused[id] = true
		if s.applied[id] > 0 {
			s.violation = "called not accepted after it took effect: " + id
		}
	case x.Outcome == OutcomeNotAccepted:
		s.refusedUnrecorded[x.CallID] = true
		if s.appliedBy[x.CallID] > 0 {
			s.violation = "called not accepted after the call took effect: " + x.CallID
		}
	}
	if s.accepted[id] && s.refused[id] {
		s.violation = "two outcomes of one operation: " + id
	}
}

func (s *operatorSimulation) step() {
	name := fmt.Sprintf("n%d", 1+s.draw(3))
	n := s.nodes[name]
	switch s.draw(9) {
	case 0, 1:
		s.submitNew(name)
	case 2:
		s.repeatCall(name)
	case 3:
		n.answers = append(n.answers, []writeAnswer{
			{result: WriteUnknown, applied: true}, {result: WriteUnknown}, {result: WriteFailed}, {result: WriteUnknown, late: true},
		}[s.draw(4)])
	case 4:
		n.holdWrites = true
	case 5:
		s.releaseWrites(name)
	case 6:
		n.isolated = !n.isolated
	case 7:
		s.applyLate(name)
	default:
		s.run(time.Duration(1+s.draw(30)) * 100 * time.Millisecond)
	}
}

func (s *operatorSimulation) submitNew(name string) {
	id := fmt.Sprintf("op%d", len(s.changes))
	worker := fmt.Sprintf("w%d", 1+s.draw(4))
	s.changes[id] = berylplan.DrainInstance{ID: worker}
	if s.draw(3) == 0 {
		s.changes[id] = berylplan.ReturnInstance{ID: worker}
	}
	s.submitOperation(name, id)
}

func (s *operatorSimulation) repeatCall(name string) {
	if len(s.changes) > 0 {
		s.submitOperation(name, fmt.Sprintf("op%d", s.draw(len(s.changes))))
	}
}

func (s *operatorSimulation) submitOperation(name, id string) {
	call := "call-" + name + "-" + id
	s.refusedUnrecorded[call] = false
	s.send(name, ChangesRequested{
		CallID: call, Operator: "ada", OperationID: id, Changes: []berylplan.Change{s.changes[id]},
	})
}

// TestOperatorOutcomes guards against wrong replies: an accepted change without effect, a refused one that takes effect, one
// that is applied twice, or two outcomes of one operation. It also guards against an exceeded disruption budget.
func TestOperatorOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOperatorSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 60 {
			sim.step()
		}
		for _, name := range []string{"n1", "n2", "n3"} {
			sim.nodes[name].isolated = false
			sim.releaseWrites(name)
			sim.applyLate(name)
		}
		sim.run(20 * time.Second)
		if sim.violation != "" {
			t.Fatalf("%s\n%s", sim.violation, sim.log.String())
		}
	})
}
