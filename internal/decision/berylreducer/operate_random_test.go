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

// operatorTrial asks random nodes for random changes under random faults and notes what the replies claim.
type operatorTrial struct {
	*scene
	draw    func(n int) int
	changes map[string]berylplan.Change
	// applied counts the writes that took an operation into force, and appliedBy those of one node's calls.
	applied   map[string]int
	appliedBy map[string]int
	// accepted and refused hold the recorded outcomes that were reported.
	accepted map[string]bool
	refused  map[string]bool
	// denied holds the calls that a node answered with a refusal that is not recorded, until it is asked again.
	denied map[string]bool
	broken string
}

func newOperatorTrial(draw func(n int) int) *operatorTrial {
	t := &operatorTrial{
		scene: newScene(wideConfig(1+draw(2)), "n1", "n2", "n3"), draw: draw, changes: map[string]berylplan.Change{},
		applied: map[string]int{}, appliedBy: map[string]int{}, accepted: map[string]bool{}, refused: map[string]bool{}, denied: map[string]bool{},
	}
	t.onWrite = t.written
	t.onReply = t.replied
	return t
}

func (t *operatorTrial) written(x WriteConfig) {
	last := x.Config.Operations
	if len(last) > 0 && last[len(last)-1].Version == x.Config.Version && last[len(last)-1].Refused == "" {
		id, call := last[len(last)-1].ID, x.CallID[:strings.LastIndex(x.CallID, ".")]
		t.applied[id]++
		t.appliedBy[call]++
		switch {
		case t.denied[call] || t.refused[id]:
			t.broken = "a change took effect after it was called not accepted: " + call
		case t.applied[id] > 1:
			t.broken = "a change was made twice: " + id
		}
	}
	planned := 0
	for _, i := range x.Config.Instances {
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			planned++
		}
	}
	if planned > x.Config.Services["quotes"].MaxUnavailable {
		t.broken = "budget"
	}
}

func (t *operatorTrial) replied(x ReplyOperator) {
	id := x.CallID[len("call-n1-"):]
	switch {
	case x.Outcome == OutcomeAccepted:
		t.accepted[id] = true
		if t.applied[id] == 0 {
			t.broken = "called accepted without effect: " + id
		}
	case x.Outcome == OutcomeNotAccepted && x.Version > 0:
		t.refused[id] = true
		if t.applied[id] > 0 {
			t.broken = "called not accepted after it took effect: " + id
		}
	case x.Outcome == OutcomeNotAccepted:
		t.denied[x.CallID] = true
		if t.appliedBy[x.CallID] > 0 {
			t.broken = "called not accepted after the call took effect: " + x.CallID
		}
	}
	if t.accepted[id] && t.refused[id] {
		t.broken = "two outcomes of one operation: " + id
	}
}

func (t *operatorTrial) act() {
	name := fmt.Sprintf("n%d", 1+t.draw(3))
	n := t.nodes[name]
	switch t.draw(9) {
	case 0, 1:
		t.askNew(name)
	case 2:
		t.askAgain(name)
	case 3:
		n.answers = append(n.answers, []sceneAnswer{
			{result: WriteUnknown, applied: true}, {result: WriteUnknown}, {result: WriteFailed}, {result: WriteUnknown, late: true},
		}[t.draw(4)])
	case 4:
		n.hold = true
	case 5:
		t.release(name)
	case 6:
		n.cut = !n.cut
	case 7:
		t.applyLate(name)
	default:
		t.run(time.Duration(1+t.draw(30)) * 100 * time.Millisecond)
	}
}

func (t *operatorTrial) askNew(name string) {
	id := fmt.Sprintf("op%d", len(t.changes))
	worker := fmt.Sprintf("w%d", 1+t.draw(4))
	t.changes[id] = berylplan.DrainInstance{ID: worker}
	if t.draw(3) == 0 {
		t.changes[id] = berylplan.ReturnInstance{ID: worker}
	}
	t.askFor(name, id)
}

func (t *operatorTrial) askAgain(name string) {
	if len(t.changes) > 0 {
		t.askFor(name, fmt.Sprintf("op%d", t.draw(len(t.changes))))
	}
}

func (t *operatorTrial) askFor(name, id string) {
	call := "call-" + name + "-" + id
	t.denied[call] = false
	t.send(name, ChangesRequested{
		CallID: call, Operator: "ada", OperationID: id, Changes: []berylplan.Change{t.changes[id]},
	})
}

// TestOperatorOutcomes guards against replies that are not true: an accepted change without effect, a refused one that
// takes effect later, one that is made twice, or two outcomes of one operation; and against an overspent budget.
func TestOperatorOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := newOperatorTrial(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 60 {
			trial.act()
		}
		for _, name := range []string{"n1", "n2", "n3"} {
			trial.nodes[name].cut = false
			trial.release(name)
			trial.applyLate(name)
		}
		trial.run(20 * time.Second)
		if trial.broken != "" {
			t.Fatalf("%s\n%s", trial.broken, trial.log.String())
		}
	})
}
