package berylworker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
)

// settleTimeout bounds one call of Settle. It is short because the caller waits for the outcome of its request meanwhile.
const settleTimeout = 250 * time.Millisecond

// ExecutionReport is a worker's answer to Settle.
type ExecutionReport struct {
	State beryllatch.ExecutionState `json:"state"`
}

// Settle asks the worker for the state of an execution whose answer was lost; sent is the time at which the sending of
// its request began. A worker that has not started the execution refuses it from then on. If Settle fails, the
// execution may be in any state.
func (c *Client) Settle(
	ctx context.Context, e beryllatch.Execution, sent time.Time,
) (beryllatch.ExecutionState, error) {
	h := executionHeader(e, nil)
	h.Set(HeaderSentAt, formatTime(stripMonotonic(sent)))
	report, err := call[ExecutionReport](ctx, c, exchange{
		method: http.MethodPost, address: e.Address, id: e.ID, header: h, answerBy: time.Now().Add(settleTimeout),
	}.withAction(PathExecutions+"/", "/settle"))
	if err != nil {
		return "", err
	}
	switch report.State {
	case beryllatch.ExecutionUnseen, beryllatch.ExecutionRunning, beryllatch.ExecutionEnded:
		return report.State, nil
	default:
		return "", unknownOutcome(fmt.Errorf("unexpected execution state %q", report.State))
	}
}
