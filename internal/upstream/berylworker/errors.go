package berylworker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxProblemBytes bounds how much of a refusal's body is read.
const maxProblemBytes = 64 << 10

// MismatchError reports an answer with the id of another execution.
type MismatchError struct{ Want, Got string }

// Error names both ids.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer carries execution id %q, expected %q", e.Got, e.Want)
}

// StatusError reports an answer with which the worker refuses a call or reports its failure.
type StatusError struct {
	Status int
	// Reason is the machine-readable reason that the worker gave; it may be empty.
	Reason string
	Detail string
}

// Error names the status and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("worker answered %d (%s): %s", e.Status, e.Reason, e.Detail)
}

// statusError returns the problem that the answer's body describes, and closes the body.
func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	e := &StatusError{Status: resp.StatusCode}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		e.Detail = err.Error()
		return e
	}
	var p struct {
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(b, &p) == nil {
		e.Reason, e.Detail = p.Reason, p.Detail
	}
	return e
}
