package berylcaller

import (
	"context"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// The time between two queries about an execution that is still running doubles from settleInterval to
// maxSettleInterval.
const (
	settleInterval    = 100 * time.Millisecond
	maxSettleInterval = 2 * time.Second
)

// settle handles an attempt whose answer was lost: it asks the worker for the state of the execution and posts the
// outcome of the attempt. If the execution may still be running, it keeps querying the worker and posts another event when
// the execution has stopped, since the execution would otherwise occupy a unit of its team until its lease expires.
func (h *Handler) settle(
	ctx context.Context, e beryllatch.Execution, sent time.Time, result berylreducer.ExecutionEnded,
) {
	stopped := berylreducer.ExecutionStopped{ID: result.ID, Attempt: result.Attempt}
	state, err := h.Upstream.Settle(ctx, e, sent)
	switch {
	case err != nil || state == beryllatch.ExecutionRunning:
		h.Node.Post(result)
		go h.awaitStop(context.WithoutCancel(ctx), e, sent, stopped)
	case state == beryllatch.ExecutionUnseen:
		result.Outcome = beryllatch.OutcomeWithdrawn
		h.Node.Post(result)
	default:
		h.Node.Post(result)
		h.Node.Post(stopped)
	}
}

// awaitStop queries the worker repeatedly and posts the event once the execution no longer runs. It gives up when the
// lease of the execution expires.
func (h *Handler) awaitStop(
	ctx context.Context, e beryllatch.Execution, sent time.Time, stopped berylreducer.ExecutionStopped,
) {
	ctx, cancel := context.WithDeadline(ctx, e.LeaseExpiry)
	defer cancel()
	for wait := settleInterval; ; wait = min(2*wait, maxSettleInterval) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		state, err := h.Upstream.Settle(ctx, e, sent)
		if err == nil && state != beryllatch.ExecutionRunning {
			h.Node.Post(stopped)
			return
		}
	}
}
