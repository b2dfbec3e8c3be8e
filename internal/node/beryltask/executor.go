package beryltask

import (
	"context"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
)

const (
	// MaxInline is the largest payload or result in bytes that is stored in the table; larger ones are stored as
	// objects.
	MaxInline = 64 << 10
	// tableTimeout bounds one read of the table; the reducer decides whether to repeat it.
	tableTimeout = 2 * time.Second
	// groupWait bounds how long a write waits for other writes to share its transaction.
	groupWait = 20 * time.Millisecond
	// reportTimeout bounds a call that returns a worker's report. It is short, since a lease is renewed when a third of
	// its length has passed, and a failed renewal must leave time for the next.
	reportTimeout = 2 * time.Second
	// startTimeout bounds the start of a task; it is shorter than the lease that the start grants.
	startTimeout = 8 * time.Second
	// collectTimeout bounds the transfer of one result.
	collectTimeout = 5 * time.Minute
)

// The numbers of calls of each kind that run at the same time. Up to queueLength further calls of a kind wait.
const (
	concurrentReads       = 16
	concurrentReports     = 64
	concurrentStarts      = 32
	concurrentCollections = 4
	concurrentSweeps      = 1
	queueLength           = 4096
)

// Executor carries out effects on tasks and posts their results as events; use New to create one.
type Executor struct {
	table  beryllatch.Table
	store  beryllatch.ObjectStore
	runner beryllatch.TaskRunner
	now    func() berylreducer.Instant
	post   func(berylreducer.Event)
	cancel context.CancelFunc
	done   <-chan struct{}

	payloads    payloadCache
	writes      *berylgroup.Writer
	reads       *pool
	reports     *pool
	starts      *pool
	collections *pool
	sweeps      *pool
	goroutines  sync.WaitGroup
}

// New starts an executor, which stops when ctx ends. It passes results to post, which may block, and calls now to
// read the node's clocks.
func New(
	ctx context.Context, t beryllatch.Table, s beryllatch.ObjectStore, r beryllatch.TaskRunner,
	now func() berylreducer.Instant, post func(berylreducer.Event),
) *Executor {
	ctx, cancel := context.WithCancel(ctx)
	x := &Executor{table: t, store: s, runner: r, now: now, post: post, cancel: cancel, done: ctx.Done()}
	x.writes = berylgroup.New(ctx, &x.goroutines, t, groupWait)
	x.reads = newPool(ctx, &x.goroutines, concurrentReads)
	x.reports = newPool(ctx, &x.goroutines, concurrentReports)
	x.starts = newPool(ctx, &x.goroutines, concurrentStarts)
	x.collections = newPool(ctx, &x.goroutines, concurrentCollections)
	x.sweeps = newPool(ctx, &x.goroutines, concurrentSweeps)
	return x
}

// Wait stops the executor and returns once no call is in progress.
func (x *Executor) Wait() {
	x.cancel()
	x.goroutines.Wait()
}

// Execute queues the calls of an effect without blocking, and returns false if the effect does not concern tasks.
func (x *Executor) Execute(e berylreducer.Effect) bool {
	switch e := e.(type) {
	case berylreducer.SubmitTask:
		x.submitTask(e)
	case berylreducer.WriteCancel:
		x.writeCancel(e)
	case berylreducer.WriteDecision:
		x.writeDecision(e)
	case berylreducer.WriteTask:
		x.writeTask(e)
	case berylreducer.WriteShard:
		x.writeShard(e)
	case berylreducer.ReadSubmission:
		x.read(func(ctx context.Context) berylreducer.Event { return x.readSubmission(ctx, e) },
			berylreducer.SubmissionRead{CallID: e.CallID, Failed: true})
	case berylreducer.LookUpTask:
		x.read(func(ctx context.Context) berylreducer.Event { return x.lookUpTask(ctx, e) },
			berylreducer.TaskLookedUp{CallID: e.CallID, Failed: true})
	case berylreducer.ReadShards:
		x.read(x.readShards, berylreducer.ShardsRead{Failed: true})
	case berylreducer.LoadTasks:
		x.read(func(ctx context.Context) berylreducer.Event { return x.loadTasks(ctx, e) }, loadFailed(e))
	case berylreducer.PollShard:
		x.read(func(ctx context.Context) berylreducer.Event { return x.pollShard(ctx, e) },
			berylreducer.ShardPolled{Shard: e.Shard, Epoch: e.Epoch, Failed: true})
	case berylreducer.SweepObjects:
		x.run(x.sweeps, sweepTimeout, func(ctx context.Context) berylreducer.Event { return x.sweepObjects(ctx, e) },
			berylreducer.ObjectsSwept{Shard: e.Shard, Epoch: e.Epoch})
	case berylreducer.ReadTask:
		x.read(func(ctx context.Context) berylreducer.Event { return x.readTask(ctx, e) },
			berylreducer.TaskRowRead{ID: e.ID, Epoch: e.Epoch, Failed: true})
	default:
		return x.executeWorkerCall(e)
	}
	return true
}

// executeWorkerCall queues an effect that calls a worker, and returns false for any other effect.
func (x *Executor) executeWorkerCall(e berylreducer.Effect) bool {
	switch e := e.(type) {
	case berylreducer.StartTask:
		x.run(x.starts, startTimeout, func(ctx context.Context) berylreducer.Event { return x.startTask(ctx, e) },
			notSent(e, beryllatch.ReasonNoCapacity))
	case berylreducer.QueryTask:
		x.requestReport(e.ID, e.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.QueryTask(ctx, e.Address, e.ID)
		})
	case berylreducer.QueryAttempt:
		x.run(x.reports, reportTimeout, func(ctx context.Context) berylreducer.Event { return x.requestAttemptReport(ctx, e) },
			berylreducer.AttemptReported{CallID: e.CallID, Failed: true})
	case berylreducer.RenewTask:
		x.requestReport(e.Execution.ID, e.Execution.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.RenewTask(ctx, e.Execution)
		})
	case berylreducer.StopTask:
		x.requestReport(e.Execution.ID, e.Execution.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.StopTask(ctx, e.Execution)
		})
	case berylreducer.CollectResult:
		x.run(x.collections, collectTimeout, func(ctx context.Context) berylreducer.Event { return x.collectResult(ctx, e) },
			berylreducer.ResultCollected{ID: e.ID, Fence: e.Fence, StoreFailed: true})
	default:
		return false
	}
	return true
}

func (x *Executor) read(f func(context.Context) berylreducer.Event, failed berylreducer.Event) {
	x.run(x.reads, tableTimeout, f, failed)
}

// run queues a call of f, whose event is posted. If the queue is full, f is not called and the event failed is posted.
func (x *Executor) run(
	p *pool, timeout time.Duration, f func(context.Context) berylreducer.Event, failed berylreducer.Event,
) {
	queued := p.add(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		x.post(f(ctx))
	})
	if !queued {
		x.postLater(failed)
	}
}

// postLater posts an event from another goroutine: the caller may be the event loop, which is the only reader of events
// and must not block on a full queue.
func (x *Executor) postLater(e berylreducer.Event) {
	select {
	case <-x.done:
	default:
		go x.post(e)
	}
}
