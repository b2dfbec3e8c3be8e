package berylmeasure

import (
	"fmt"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	// rebootTime with the time of a drain makes up berylplan.StepTime.
	rebootTime = 45 * time.Second
	// failureTime is how fast a worker fails that fails everything.
	failureTime = 5 * time.Millisecond
)

// worker stands for an upstream: slots, a state, and the executions that run on it.
type worker struct {
	id         string
	address    string
	dataCentre string
	slots      int
	boot       int
	rebooting  bool
	// failing workers answer everything with a failure.
	failing    bool
	executions []*execution
}

// execution is one attempt that runs on a worker.
type execution struct {
	q        *request
	node     *node
	dispatch berylreducer.Dispatch
	sentAt   time.Duration
	worker   *worker
	failed   bool
}

func (w *worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.id, w.boot) }

// admit returns why the worker does not start the execution, or an empty reason.
func (w *worker) admit(now time.Time, e beryllatch.Execution) (beryllatch.ExecutionOutcome, beryllatch.Reason) {
	switch {
	case w.rebooting:
		return beryllatch.OutcomeNotSent, beryllatch.ReasonWorkerUnreachable
	case now.After(e.StartBy), len(w.executions) >= w.slots:
		return beryllatch.OutcomeRefused, beryllatch.ReasonWorkerRefused
	}
	return beryllatch.OutcomeAnswered, ""
}

func (w *worker) remove(x *execution) {
	w.executions = slices.DeleteFunc(w.executions, func(y *execution) bool { return y == x })
}

// report is the worker's answer about itself.
func (w *worker) report() berylreducer.WorkerReported {
	if w.rebooting {
		return berylreducer.WorkerReported{Instance: w.id}
	}
	return berylreducer.WorkerReported{Instance: w.id, Healthy: true, BootID: w.bootID(), Running: len(w.executions)}
}
