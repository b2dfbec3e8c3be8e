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
	// tickInterval is how often the reducer gets a Ticked event.
	tickInterval = 100 * time.Millisecond
	// platformTimeout bounds one effect that calls the platform or a peer. It is shorter than the tenure, so that the
	// renewal after a slow one still starts before the tenure ends.
	platformTimeout = 1500 * time.Millisecond
	// listInterval is how often the instance list is read.
	listInterval = time.Second
	// claimWait is how long the write of a claim waits for other writes to share its transaction. It is well below the
	// latency of the table.
	claimWait = 2 * time.Millisecond
	// eventBuffer is the number of posted events that may wait for the loop; when it is full, Post blocks.
	eventBuffer = 4096
)

// Daemon is one entry node; set the exported fields, call Init, then Run.
type Daemon struct {
	Self      berylreducer.Identity
	Table     beryllatch.Table
	Objects   beryllatch.ObjectStore
	Instances beryllatch.InstanceList
	Tasks     beryllatch.TaskRunner
	Peers     *berylpeer.Client
	// DeliverTaskAnswer passes an effect to the call of the tasks API that waits for it; it returns false if the effect
	// does not concern the tasks API.
	DeliverTaskAnswer func(berylreducer.Effect) bool
	Metrics           *berylmetrics.Registry
	Log               *log.Logger
	// Seed seeds the reducer's random choices.
	Seed uint64

	startTime time.Time
	events    chan berylreducer.Event
	ready     atomic.Bool
	stop      chan struct{}
	stopOnce  sync.Once
	// goroutines counts the background goroutines: effects in progress and periodic reads.
	goroutines sync.WaitGroup

	mu sync.Mutex
	// requests holds the channel of each unanswered request, by request id.
	requests map[string]chan berylreducer.Effect

	ownRows       ownRows
	state         sharedState
	grantCalls    pendingCalls[bool]
	claimWriter   *berylgroup.Writer
	answers       answers
	gcTuner       gcTuner
	tasks         *beryltask.Executor
	operatorCalls pendingCalls[berylreducer.ReplyOperator]
	statusCalls   pendingCalls[berylreducer.Status]
	// resolveCalls holds the operators' calls that wait for the outcome of a decision about a task.
	resolveCalls pendingCalls[berylreducer.ReplyTaskResolve]
	// lastPolled is the index of the worker that was polled last, in the sorted list of instance ids.
	lastPolled int
}

// Init prepares the daemon; events may be posted from then on, and are handled once Run is called.
func (d *Daemon) Init() {
	d.startTime = time.Now()
	d.events = make(chan berylreducer.Event, eventBuffer)
	d.stop = make(chan struct{})
	d.requests = map[string]chan berylreducer.Effect{}
}

// Run feeds events to the reducer until a graceful shutdown is complete or ctx is cancelled.
func (d *Daemon) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.goroutines.Wait()
	defer cancel()
	d.claimWriter = berylgroup.New(ctx, &d.goroutines, d.Table, claimWait)
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

// Post queues an event for the reducer, and blocks while the queue is full. Once the daemon has stopped, events are
// dropped.
func (d *Daemon) Post(e berylreducer.Event) {
	select {
	case d.events <- e:
	case <-d.stop:
	}
}

// Ready reports whether the load balancer may send work to this node.
func (d *Daemon) Ready() bool { return d.ready.Load() }

func (d *Daemon) now() berylreducer.Instant {
	return berylreducer.Instant{Mono: time.Since(d.startTime), Wall: time.Now().Round(0)}
}

func (d *Daemon) store() berylconfig.Store { return berylconfig.Store{Table: d.Table} }

// async runs a call that may block in a goroutine of its own, so that the event loop does not wait for it. The context
// of the call ends after platformTimeout.
func (d *Daemon) async(ctx context.Context, f func(ctx context.Context)) {
	d.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		f(ctx)
	})
}

// every calls f immediately and then once per interval, in a goroutine of its own, until ctx is cancelled.
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
