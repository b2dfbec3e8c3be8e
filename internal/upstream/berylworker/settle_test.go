package berylworker_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Guards against an execution that starts after its worker has reported it as unseen, and against "unseen" for work that
// has run, that an earlier boot of the worker may have run, or that the worker may have forgotten.
func TestSettle(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithRun(0))
	assert.NilError(t, worker.SetFaults(berylupstream.Faults{
		CutBeforeStart: berylupstream.Trigger{Next: 1}, CutAfterStart: berylupstream.Trigger{Next: 1},
	}))
	address := serveWorker(t, worker)
	c := berylworker.New()
	sent := time.Now().Add(time.Minute)

	unseen := execution(address, "unseen")
	_, _, err := execute(t.Context(), c, unseen, nil, strings.NewReader("body"))
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
	for range 2 {
		state, err := c.Settle(t.Context(), unseen, sent)
		assert.NilError(t, err)
		assert.Equal(t, state, beryllatch.ExecutionUnseen)
	}
	_, _, err = execute(t.Context(), c, unseen, nil, strings.NewReader("body"))
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeRefused)

	ran := execution(address, "ran")
	_, _, err = execute(t.Context(), c, ran, nil, strings.NewReader("body"))
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
	state := beryllatch.ExecutionRunning
	for state == beryllatch.ExecutionRunning {
		state, err = c.Settle(t.Context(), ran, sent)
		assert.NilError(t, err)
	}
	assert.Equal(t, state, beryllatch.ExecutionEnded)
	assert.Equal(t, len(worker.Record()), 1)

	_, err = c.Settle(t.Context(), execution(address, "earlier boot"), time.Now().Add(-time.Hour))
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
	late := execution(address, "expired lease")
	late.LeaseExpiry = time.Now().Add(-time.Second)
	_, err = c.Settle(t.Context(), late, sent)
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
}
