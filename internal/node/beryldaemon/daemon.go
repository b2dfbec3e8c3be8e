package beryldaemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylpeer"
	"github.com/beryllatch/beryllatch/internal/node/beryltask"
	"github.com/beryllatch/beryllatch/internal/platform/berylconfig"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
	"github.com/phuslu/log"
)

const (
	tickInterval = 100 * time.Millisecond
	// platformTimeout is shorter than the tenure, so that a slow answer does not delay the next renewal beyond it.
	platformTimeout = 1500 * time.Millisecond
	// listInterval is how often the instance list is read.
	listInterval = time.Second
	// claimWait is how long a claim waits for others; it is well below the latency of the table.
	claimWait = 2 * time.Millisecond
	// eventBuffer holds the events that wait for the loop; a full buffer slows the posters down.
	eventBuffer = 4096
)

// Daemon is one entry node; set the exported fields, then call Run.
type Daemon struct {
	Self      berylreducer.Identity
	Table     beryllatch.Table
	Objects   beryllatch.ObjectStore
	Instances beryllatch.InstanceList
	Tasks     beryllatch.TaskRunner
	Peers     *berylpeer.Client
	// TaskAnswers takes the effects that answer calls of the tasks API, and returns false for any other.
	TaskAnswers func(berylreducer.Effect) bool
	Metrics     *berylmetrics.Registry
	Log         *log.Logger
	// Seed seeds the reducer's random choices.
	Seed uint64

	started  time.Time
	events   chan berylreducer.Event
	ready    atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	// goroutines counts the goroutines that carry out effects.
	goroutines sync.WaitGroup

	mu       sync.Mutex
	requests map[string]chan berylreducer.Effect

	ownRow        ownRow
	state         sharedState
	grantCalls    pendingCalls[bool]
	claims        *berylgroup.Writer
	answers       answers
	gcTuner       gcTuner
	tasks         *beryltask.Executor
	operatorCalls pendingCalls[berylreducer.ReplyOperator]
	statusCalls   pendingCalls[berylreducer.Status]
	// resolveCalls holds the operators that wait for the outcome of a decision about a task.
	resolveCalls pendingCalls[berylreducer.ReplyTaskResolve]
	// lastPolled is the worker whose report was asked for last.
	lastPolled int
}

// Init prepares the daemon; the posting methods may be used from then on.
func (d *Daemon) Init() {
	d.started = time.Now()
	d.events = make(chan berylreducer.Event, eventBuffer)
	d.stop = make(chan struct{})
	d.requests = map[string]chan berylreducer.Effect{}
}

// Run feeds events to the reducer until a graceful shutdown ends or ctx is cancelled.
func (d *Daemon) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.goroutines.Wait()
	defer cancel()
	d.claims = berylgroup.New(ctx, &d.goroutines, d.Table, claimWait)
	d.tasks = beryltask.New(ctx, d.Table, d.Objects, d.Tasks, d.now, d.Post)
	defer d.tasks.Wait()
	var r berylreducer.Reducer
	reduce := func(e berylreducer.Event) {
		for _, x := range r.Reduce(d.now(), e) {
			d.execute(ctx, x)
		}
		d.state.set(&r)
	}
	reduce(berylreducer.Started{Self: d.Self, Seed: d.Seed})
	reduce(berylreducer.ShardsEnabled{})
	d.every(ctx, listInterval, d.readInstances)
	d.every(ctx, pollInterval, d.pollWorkers)
	d.gcTuner.start(ctx, d)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-d.events:
			reduce(e)
		case <-ticker.C:
			reduce(berylreducer.Ticked{})
		case <-d.stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Post hands an event to the reducer; it is dropped once the daemon has stopped.
func (d *Daemon) Post(e berylreducer.Event) {
	select {
	case d.events <- e:
	case <-d.stop:
	}
}

// Ready reports whether the balancer may send work to this node.
func (d *Daemon) Ready() bool { return d.ready.Load() }

func (d *Daemon) now() berylreducer.Instant {
	return berylreducer.Instant{Mono: time.Since(d.started), Wall: time.Now().Round(0)}
}

func (d *Daemon) store() berylconfig.Store { return berylconfig.Store{Table: d.Table} }

// async carries out a blocking call outside the loop, within the platform timeout.
func (d *Daemon) async(ctx context.Context, f func(ctx context.Context)) {
	d.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		f(ctx)
	})
}

// every calls f at once and then at the interval until ctx is cancelled.
func (d *Daemon) every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	d.goroutines.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			call, cancel := context.WithTimeout(ctx, platformTimeout)
			f(call)
			cancel()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}
