package berylmeasure

import (
	"fmt"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	// rebootTime is shorter than berylplan.StepTime, which also covers the drain before the reboot.
	rebootTime = 45 * time.Second
	// failureTime is the time after which a failing worker answers.
	failureTime = 5 * time.Millisecond
)

// worker simulates an upstream.
type worker struct {
	id         string
	address    string
	dataCentre string
	slots      int
	// reboots is the number of reboots so far.
	reboots   int
	rebooting bool
	// failing makes the worker answer everything with a failure.
	failing    bool
	executions []*execution
}

// execution is one attempt of the request q at a worker; failed is true if the worker answers with a failure.
type execution struct {
	q        *request
	node     *node
	dispatch berylreducer.Dispatch
	sentAt   time.Duration
	worker   *worker
	failed   bool
}

func (w *worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.id, w.reboots) }

// admit decides whether the worker starts the execution. If not, it returns the outcome and the reason; otherwise the
// reason is empty.
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

// report returns the worker's answer to a poll.
func (w *worker) report() berylreducer.WorkerReported {
	if w.rebooting {
		return berylreducer.WorkerReported{Instance: w.id}
	}
	return berylreducer.WorkerReported{Instance: w.id, Healthy: true, BootID: w.bootID(), Running: len(w.executions)}
}
