package beryltask

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// notSent returns the event for a start that has not reached the worker.
func notSent(e berylreducer.StartTask, reason beryllatch.Reason) berylreducer.TaskStarted {
	return berylreducer.TaskStarted{
		ID: e.ID, Fence: e.Execution.Fence, Outcome: beryllatch.OutcomeNotSent, Reason: reason,
	}
}

func (x *Executor) startTask(ctx context.Context, e berylreducer.StartTask) berylreducer.Event {
	body, err := x.openPayload(ctx, e)
	if err != nil {
		return notSent(e, beryllatch.ReasonPlatformUnavailable)
	}
	defer func() { _ = body.Close() }()
	out := berylreducer.TaskStarted{ID: e.ID, Fence: e.Execution.Fence, Outcome: beryllatch.OutcomeAnswered}
	if err := x.runner.StartTask(ctx, e.Execution, body); err != nil {
		out.Outcome, out.Reason = outcomeOf(err)
	}
	return out
}

// openPayload opens the payload of a task, from the object store, the cache or the table.
func (x *Executor) openPayload(ctx context.Context, e berylreducer.StartTask) (io.ReadCloser, error) {
	switch {
	case e.PayloadObject != "":
		return x.store.Get(ctx, e.PayloadObject)
	case e.PayloadRow:
		if body, ok := x.payloads.get(e.ID); ok {
			return io.NopCloser(bytes.NewReader(body)), nil
		}
		row, err := x.table.Get(ctx, payloadKey(e.Shard, e.ID))
		if err != nil {
			return nil, err
		}
		return io.NopCloser(bytes.NewReader(row.Value)), nil
	default:
		return io.NopCloser(bytes.NewReader(nil)), nil
	}
}

// outcomeOf returns the outcome that the error carries. After any other error it is unknown whether the worker got the
// call.
func outcomeOf(err error) (beryllatch.ExecutionOutcome, beryllatch.Reason) {
	var failed *beryllatch.ExecutionError
	if errors.As(err, &failed) {
		return failed.Outcome, failed.Reason
	}
	return beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
}

// requestReport queues a call to a worker and posts the report on the task that the call returns. A refusal is an
// answer of the worker, so it is not reported as a failed call.
func (x *Executor) requestReport(id string, fence uint64, call func(context.Context) (beryllatch.TaskReport, error)) {
	failed := berylreducer.TaskReported{ID: id, Fence: fence, Failed: true}
	x.run(x.reports, reportTimeout, func(ctx context.Context) berylreducer.Event {
		report, err := call(ctx)
		if err == nil {
			return berylreducer.TaskReported{ID: id, Fence: fence, Report: report}
		}
		outcome, _ := outcomeOf(err)
		refused := outcome == beryllatch.OutcomeRefused
		return berylreducer.TaskReported{ID: id, Fence: fence, Failed: !refused, Refused: refused}
	}, failed)
}

// requestAttemptReport asks the worker that has run a task of unknown outcome for the task's state.
func (x *Executor) requestAttemptReport(ctx context.Context, e berylreducer.QueryAttempt) berylreducer.Event {
	report, err := x.runner.QueryTask(ctx, e.Address, e.TaskID)
	return berylreducer.AttemptReported{CallID: e.CallID, Failed: err != nil, Report: report}
}
