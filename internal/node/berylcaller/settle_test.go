package berylcaller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// scriptedUpstream answers each query with the next of its states; an empty state, or none left, makes the query fail.
type scriptedUpstream struct {
	fakeUpstream
	states []beryllatch.ExecutionState
}

func (u *scriptedUpstream) Settle(
	context.Context, beryllatch.Execution, time.Time,
) (beryllatch.ExecutionState, error) {
	if len(u.states) == 0 || u.states[0] == "" {
		u.states = u.states[min(1, len(u.states)):]
		return "", errors.New("no answer")
	}
	state := u.states[0]
	u.states = u.states[1:]
	return state, nil
}

// Guards against an execution that is reported as stopped while it may still run, against the outcome "withdrawn"
// although the worker has not confirmed that it never started the execution, and against queries after the lease has
// expired.
func TestSettle(t *testing.T) {
	running, ended, unseen := beryllatch.ExecutionRunning, beryllatch.ExecutionEnded, beryllatch.ExecutionUnseen
	tests := map[string]struct {
		states  []beryllatch.ExecutionState
		outcome beryllatch.ExecutionOutcome
		stopped int
	}{
		"never started":            {[]beryllatch.ExecutionState{unseen}, beryllatch.OutcomeWithdrawn, 0},
		"ended":                    {[]beryllatch.ExecutionState{ended}, beryllatch.OutcomeUnknown, 1},
		"ends later":               {[]beryllatch.ExecutionState{running, running, ended}, beryllatch.OutcomeUnknown, 1},
		"unreachable, then unseen": {[]beryllatch.ExecutionState{"", unseen}, beryllatch.OutcomeUnknown, 1},
		"unreachable":              {nil, beryllatch.OutcomeUnknown, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNode{effects: map[string]chan berylreducer.Effect{"q1": make(chan berylreducer.Effect, 1)}}
				h := &Handler{Node: n, Upstream: &scriptedUpstream{states: tc.states}}
				result := berylreducer.ExecutionEnded{ID: "q1", Attempt: 1, Outcome: beryllatch.OutcomeUnknown}
				e := beryllatch.Execution{ID: "q1.1", LeaseExpiry: time.Now().Add(time.Minute)}
				h.settle(t.Context(), e, time.Now(), result)
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				assert.Equal(t, len(n.endedEvents), 1)
				assert.Equal(t, n.endedEvents[0].Outcome, tc.outcome)
				assert.Equal(t, len(n.stoppedEvents), tc.stopped)
			})
		})
	}
}
