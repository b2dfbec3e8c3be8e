package berylworker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxProblemBytes bounds how much of a refusal's body is read.
const maxProblemBytes = 64 << 10

// MismatchError reports an answer that belongs to another execution.
type MismatchError struct{ Want, Got string }

// Error names both ids.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer is of execution %q, expected %q", e.Got, e.Want)
}

// StatusError reports an answer with a status other than success.
type StatusError struct {
	Status int
	// Reason is the worker's machine-readable reason; empty if it gave none.
	Reason string
	Detail string
}

// Error names the status and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("worker answered %d (%s): %s", e.Status, e.Reason, e.Detail)
}

// statusError reads the problem body of an answer and closes it.
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
