package berylworker_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Guards against outcomes that contradict the worker's record, with concurrent executions and all faults at once:
// work that was started twice, that was started although it was reported as not run, or that got another execution's
// answer.
func TestOutcomesAgreeWithRecord(t *testing.T) {
	share := func(s float64) berylupstream.Trigger { return berylupstream.Trigger{Share: s} }
	worker := berylupstream.New(berylupstream.WithSlots(6), berylupstream.WithRun(time.Millisecond))
	assert.NilError(t, worker.SetFaults(berylupstream.Faults{
		AnswerLate: share(0.1), AnswerLateMS: 5, Crossed: share(0.2), Truncated: share(0.1), Doubled: share(0.1),
		CutBeforeStart: share(0.1), CutAfterStart: share(0.1),
	}))
	address := serveWorker(t, worker)
	c := berylworker.New()
	var (
		mu       sync.Mutex
		outcomes = make(map[string]beryllatch.ExecutionOutcome)
		wg       sync.WaitGroup
	)
	for g := range 8 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", g, i)
				e := execution(address, id)
				e.LeaseExpiry = time.Now().Add(time.Second)
				_, digest, err := execute(t.Context(), c, e, nil, strings.NewReader(id))
				outcome := beryllatch.OutcomeAnswered
				if err != nil {
					e, ok := errors.AsType[*beryllatch.ExecutionError](err)
					if !assert.Check(t, ok, "got %v", err) {
						return
					}
					outcome = e.Outcome
				} else {
					assert.Check(t, digest == fmt.Sprintf("%x", sha256.Sum256([]byte(id))), "answer to %s", id)
				}
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	starts := make(map[string]int)
	for _, s := range worker.Record() {
		starts[s.ID]++
	}
	counts := make(map[beryllatch.ExecutionOutcome]int)
	for id, outcome := range outcomes {
		counts[outcome]++
		switch outcome {
		case beryllatch.OutcomeAnswered:
			assert.Equal(t, starts[id], 1, id)
		case beryllatch.OutcomeUnknown:
			assert.Assert(t, starts[id] <= 1, id)
		default:
			assert.Equal(t, starts[id], 0, "%s is %s", id, outcome)
		}
	}
	t.Logf("outcomes: %v", counts)
	assert.Assert(t, counts[beryllatch.OutcomeAnswered] > 0 && counts[beryllatch.OutcomeUnknown] > 0)
}
