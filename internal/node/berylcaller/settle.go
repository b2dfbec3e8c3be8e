package berylcaller

import (
	"context"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// settleInterval and maxSettleInterval bound the time between two questions about an execution that goes on.
const (
	settleInterval    = 100 * time.Millisecond
	maxSettleInterval = 2 * time.Second
)

// settle asks the worker what became of an execution whose answer was lost, posts the end of the attempt, and keeps
// asking while the execution may run: its unit of the team's ceiling would otherwise be held until its lease expires.
func (h *Handler) settle(
	ctx context.Context, e beryllatch.Execution, sent time.Time, ended berylreducer.ExecutionEnded,
) {
	stopped := berylreducer.ExecutionStopped{ID: ended.ID, Attempt: ended.Attempt}
	state, err := h.Upstream.Settle(ctx, e, sent)
	switch {
	case err != nil || state == beryllatch.ExecutionRunning:
		h.Node.Post(ended)
		go h.awaitStop(context.WithoutCancel(ctx), e, sent, stopped)
	case state == beryllatch.ExecutionUnseen:
		ended.Outcome = beryllatch.OutcomeWithdrawn
		h.Node.Post(ended)
	default:
		h.Node.Post(ended)
		h.Node.Post(stopped)
	}
}

// awaitStop posts the event once the execution runs no more, unless its lease expires first.
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
