package berylworker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
)

// maxReportBytes bounds how much of a worker's report is read.
const maxReportBytes = 64 << 10

// StartTask starts the task with the lease and the fence of the execution. It returns when the worker has accepted it.
func (c *Client) StartTask(ctx context.Context, e beryllatch.Execution, body io.Reader) error {
	x := c.taskExchange(http.MethodPut, e.Address, e.ID, "")
	x.header, x.body, x.expectContinue, x.startBy = executionHeader(e, nil), body, true, stripMonotonic(e.StartBy)
	if !e.StartBy.IsZero() {
		x.answerBy = x.startBy.Add(callTimeout)
	}
	_, err := call[beryllatch.TaskReport](ctx, c, x)
	return err
}

// RenewTask extends the lease of a running task.
func (c *Client) RenewTask(ctx context.Context, e beryllatch.Execution) (beryllatch.TaskReport, error) {
	x := c.taskExchange(http.MethodPost, e.Address, e.ID, "/lease")
	x.header = executionHeader(e, nil)
	return call[beryllatch.TaskReport](ctx, c, x)
}

// QueryTask asks a worker for the state of a task.
func (c *Client) QueryTask(ctx context.Context, address, id string) (beryllatch.TaskReport, error) {
	return call[beryllatch.TaskReport](ctx, c, c.taskExchange(http.MethodGet, address, id, ""))
}

// StopTask stops a task. If the worker has not started it, it will refuse to do so from then on.
func (c *Client) StopTask(ctx context.Context, e beryllatch.Execution) (beryllatch.TaskReport, error) {
	x := c.taskExchange(http.MethodDelete, e.Address, e.ID, "")
	x.header = executionHeader(e, nil)
	return call[beryllatch.TaskReport](ctx, c, x)
}

// CheckpointTask asks the worker to save the progress of a running task.
func (c *Client) CheckpointTask(ctx context.Context, e beryllatch.Execution) (beryllatch.TaskReport, error) {
	x := c.taskExchange(http.MethodPost, e.Address, e.ID, "/checkpoint")
	x.header = executionHeader(e, nil)
	return call[beryllatch.TaskReport](ctx, c, x)
}

// ThrottleTask asks the worker to run a task at the given share of its speed, above 0 and at most 1.
func (c *Client) ThrottleTask(
	ctx context.Context, e beryllatch.Execution, share float64,
) (beryllatch.TaskReport, error) {
	x := c.taskExchange(http.MethodPost, e.Address, e.ID, "/throttle")
	x.header = executionHeader(e, nil)
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	go func() { _ = w.CloseWithError(json.NewEncoder(w).Encode(map[string]float64{"share": share})) }()
	x.body = r
	return call[beryllatch.TaskReport](ctx, c, x)
}

// TaskResult opens the result of a finished task; the caller must close it. A result may be large, so callTimeout does
// not apply: only the context bounds the transfer.
func (c *Client) TaskResult(ctx context.Context, address, id string) (io.ReadCloser, error) {
	x := c.taskExchange(http.MethodGet, address, id, "/result")
	x.answerBy = time.Time{}
	resp, err := c.do(ctx, x)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, unknownOutcome(statusError(resp))
	}
	return resp.Body, nil
}

// QueryWorker asks a worker for its own state.
func (c *Client) QueryWorker(ctx context.Context, address string) (beryllatch.WorkerReport, error) {
	return call[beryllatch.WorkerReport](ctx, c, exchange{
		method: http.MethodGet, address: address, path: PathStatus, id: "status", answerBy: c.callDeadline(),
	})
}

// RebootWorker tells a drained worker to reboot. The worker refuses if its boot id is not the given one.
func (c *Client) RebootWorker(ctx context.Context, address, bootID string) error {
	_, err := call[beryllatch.WorkerReport](ctx, c, exchange{
		method: http.MethodPost, address: address, path: PathReboot, id: "reboot", answerBy: c.callDeadline(),
		header: http.Header{HeaderBootID: {bootID}},
	})
	return err
}

func (c *Client) taskExchange(method, address, id, action string) exchange {
	return exchange{method: method, address: address, id: id, answerBy: c.callDeadline()}.withAction(PathTasks, action)
}

func (c *Client) callDeadline() time.Time { return time.Now().Add(callTimeout) }

// call sends the request and decodes the JSON report in the answer.
func call[T any](ctx context.Context, c *Client, x exchange) (T, error) {
	var report T
	resp, err := c.do(ctx, x)
	if err != nil {
		return report, err
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return report, unknownOutcome(statusError(resp))
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(b, &report); err != nil {
		return report, &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: err,
		}
	}
	return report, nil
}

// unknownOutcome returns the error of a call whose answer is an error or unexpected, but does not say that the work was
// not run.
func unknownOutcome(err error) error {
	return &beryllatch.ExecutionError{
		Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonWorkerRefused, Err: err,
	}
}
