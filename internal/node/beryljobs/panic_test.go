package beryljobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"gotest.tools/v3/assert"
)

// brokenWorkers panics in each call.
type brokenWorkers struct{ beryllatch.RunClient }

// A panic in a call to a worker must neither end the process nor leave the worker waiting for the outcome.
func TestPanicInACallIsAnUnansweredCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		n := &Node{Workers: brokenWorkers{}, Log: &DecisionLog{}, Metrics: berylmetrics.New()}
		s := &session{node: n, ctx: ctx, endEpoch: end, workerTimeout: adaptiveTimeout{shortest: minWorkerTimeout, longest: maxWorkerTimeout}}
		s.scheduler.Limits.MaxLease = time.Second
		s.apply(berylscheduler.Recovered{})
		s.hold(berylscheduler.HoldWorker{Worker: beryllatch.WorkerAddress{ID: "w"}})
		s.start(berylscheduler.StartRun{Worker: beryllatch.WorkerAddress{ID: "w"}})
		assert.NilError(t, ctx.Err())
	})
}

// A panic in the scheduler ends the epoch and not the process: its state can't be trusted, the stored rows can.
func TestPanicInTheSchedulerEndsTheEpoch(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	defer end()
	n := &Node{Log: &DecisionLog{}, Metrics: berylmetrics.New()}
	closed := make(chan error)
	close(closed)
	s := &session{node: n, ctx: ctx, endEpoch: end, calls: map[uint64]chan error{1: closed}}
	s.apply(berylscheduler.Recovered{})
	assert.NilError(t, ctx.Err())
	s.apply(berylscheduler.CancelRequested{Call: 1, ID: "unknown"})
	assert.Assert(t, ctx.Err() != nil)
}

// A row that makes the decoder panic must not end the process, and the loop that reads the rows goes on.
func TestPanicInALoopIsSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		n := &Node{Log: &DecisionLog{}, Metrics: berylmetrics.New()}
		calls := 0
		n.keepRunning(ctx, "test", func(context.Context) {
			if calls++; calls < 3 {
				panic("row")
			}
			end()
		})
		assert.Equal(t, calls, 3)
	})
}
