package berylcall

import (
	"errors"
	"net/http"

	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// WriteError wraps the error of a failed write: as *beryllatch.UnavailableError if the write certainly had no effect, and
// otherwise as *beryllatch.UnknownOutcomeError.
func WriteError(err error, tracker *berylconn.Tracker) error {
	status := Status(err)
	if notExecuted(status) || (status == 0 && !tracker.MayHaveSent()) {
		return &beryllatch.UnavailableError{Err: err}
	}
	return &beryllatch.UnknownOutcomeError{Err: err}
}

// Status returns the HTTP status of the answer that the error reports, or 0 if there was no answer.
func Status(err error) int {
	// The SDK reports a failed connection as an answer with status 0.
	resp, ok := errors.AsType[*smithyhttp.ResponseError](err)
	if !ok || resp.Response == nil {
		return 0
	}
	return resp.HTTPStatusCode()
}

// notExecuted reports whether the status means that the call was not carried out. Status 408 does not: it says only that
// the call took too long.
func notExecuted(status int) bool {
	return status == http.StatusServiceUnavailable ||
		(status >= 400 && status < 500 && status != http.StatusRequestTimeout)
}
