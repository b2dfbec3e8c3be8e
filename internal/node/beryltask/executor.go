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
	// MaxInline is the largest payload or result in bytes that is stored in the table.
	MaxInline = 64 << 10
	// tableTimeout bounds one call to the table; the reducer decides about a repeat.
	tableTimeout = 2 * time.Second
	// groupWait bounds how long a write waits for others.
	groupWait = 20 * time.Millisecond
	// reportTimeout is short, since a lease is renewed at a third of its length.
	reportTimeout = 2 * time.Second
	// startTimeout ends before the lease that the start grants.
	startTimeout = 8 * time.Second
	// collectTimeout bounds the transfer of one result.
	collectTimeout = 5 * time.Minute
)

// Numbers of calls that run at once; further calls wait in a queue of queueLength.
const (
	readers     = 16
	reporters   = 64
	starters    = 32
	collectors  = 4
	sweepers    = 1
	queueLength = 4096
)

// Executor carries out task effects; New returns a ready one.
type Executor struct {
	table  beryllatch.Table
	store  beryllatch.ObjectStore
	runner beryllatch.TaskRunner
	now    func() berylreducer.Instant
	post   func(berylreducer.Event)
	cancel context.CancelFunc
	done   <-chan struct{}

	payloads payloadCache
	writes   *berylgroup.Writer
	reads    *pool
	reports  *pool
	starts   *pool
	results  *pool
	sweeps   *pool
	running  sync.WaitGroup
}

// New starts an executor that ends with ctx; results go to post, which may block, and now reads the node's clocks.
func New(
	ctx context.Context, t beryllatch.Table, s beryllatch.ObjectStore, r beryllatch.TaskRunner,
	now func() berylreducer.Instant, post func(berylreducer.Event),
) *Executor {
	ctx, cancel := context.WithCancel(ctx)
	x := &Executor{table: t, store: s, runner: r, now: now, post: post, cancel: cancel, done: ctx.Done()}
	x.writes = berylgroup.New(ctx, &x.running, t, groupWait)
	x.reads = newPool(ctx, &x.running, readers)
	x.reports = newPool(ctx, &x.running, reporters)
	x.starts = newPool(ctx, &x.running, starters)
	x.results = newPool(ctx, &x.running, collectors)
	x.sweeps = newPool(ctx, &x.running, sweepers)
	return x
}

// Wait ends the executor and returns once every call has ended.
func (x *Executor) Wait() {
	x.cancel()
	x.running.Wait()
}

// Execute starts an effect without blocking, and returns false if it is no effect for an executor.
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
		x.run(x.sweeps, sweepTimeout, func(ctx context.Context) berylreducer.Event { return x.sweep(ctx, e) },
			berylreducer.ObjectsSwept{Shard: e.Shard, Epoch: e.Epoch})
	case berylreducer.ReadTask:
		x.read(func(ctx context.Context) berylreducer.Event { return x.readTask(ctx, e) },
			berylreducer.TaskRowRead{ID: e.ID, Epoch: e.Epoch, Failed: true})
	default:
		return x.executeWorker(e)
	}
	return true
}

func (x *Executor) executeWorker(e berylreducer.Effect) bool {
	switch e := e.(type) {
	case berylreducer.StartTask:
		x.run(x.starts, startTimeout, func(ctx context.Context) berylreducer.Event { return x.startTask(ctx, e) },
			notSent(e, beryllatch.ReasonNoCapacity))
	case berylreducer.AskTask:
		x.report(e.ID, e.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.QueryTask(ctx, e.Address, e.ID)
		})
	case berylreducer.AskAttempt:
		x.run(x.reports, reportTimeout, func(ctx context.Context) berylreducer.Event { return x.askAttempt(ctx, e) },
			berylreducer.AttemptReported{CallID: e.CallID, Failed: true})
	case berylreducer.RenewTask:
		x.report(e.Execution.ID, e.Execution.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.RenewTask(ctx, e.Execution)
		})
	case berylreducer.StopTask:
		x.report(e.Execution.ID, e.Execution.Fence, func(ctx context.Context) (beryllatch.TaskReport, error) {
			return x.runner.StopTask(ctx, e.Execution)
		})
	case berylreducer.CollectResult:
		x.run(x.results, collectTimeout, func(ctx context.Context) berylreducer.Event { return x.collect(ctx, e) },
			berylreducer.ResultCollected{ID: e.ID, Fence: e.Fence, StoreFailed: true})
	default:
		return false
	}
	return true
}

func (x *Executor) read(f func(context.Context) berylreducer.Event, failed berylreducer.Event) {
	x.run(x.reads, tableTimeout, f, failed)
}

// run queues a call; a full queue fails it without an effect.
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

// postLater hands over an event from outside the caller, which may be the only reader of events.
func (x *Executor) postLater(e berylreducer.Event) {
	select {
	case <-x.done:
	default:
		go x.post(e)
	}
}
