package berylworker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
)

// settleTimeout bounds one call of Settle; a caller waits for its outcome meanwhile.
const settleTimeout = 250 * time.Millisecond

// ExecutionReport is a worker's answer about an execution.
type ExecutionReport struct {
	State beryllatch.ExecutionState `json:"state"`
}

// Settle asks the worker about an execution whose sending began at the given time and whose answer was lost.
// From then on the worker refuses an execution that it has not started. An error says nothing about the execution.
func (c *Client) Settle(
	ctx context.Context, e beryllatch.Execution, sent time.Time,
) (beryllatch.ExecutionState, error) {
	h := executionHeader(e, nil)
	h.Set(HeaderSentAt, formatTime(wall(sent)))
	report, err := call[ExecutionReport](ctx, c, exchange{
		method: http.MethodPost, address: e.Address, id: e.ID, header: h, answerBy: time.Now().Add(settleTimeout),
	}.at(PathExecutions+"/", "/settle"))
	if err != nil {
		return "", err
	}
	switch report.State {
	case beryllatch.ExecutionUnseen, beryllatch.ExecutionRunning, beryllatch.ExecutionEnded:
		return report.State, nil
	default:
		return "", unexpected(fmt.Errorf("execution state %q", report.State))
	}
}
