package berylproblem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Problem is the JSON body of a refusal.
type Problem struct {
	Type         string              `json:"type"`
	Title        string              `json:"title"`
	Status       int                 `json:"status"`
	Detail       string              `json:"detail,omitempty"`
	Reason       beryllatch.Reason   `json:"reason"`
	RunState     beryllatch.RunState `json:"run_state"`
	RetryAfterMS int64               `json:"retry_after_ms,omitempty"`
	RequestID    string              `json:"request_id,omitempty"`
}

// statuses maps reasons to HTTP status codes. For any other reason, Status derives the code from the run state.
var statuses = map[beryllatch.Reason]int{
	beryllatch.ReasonBadRequest:        http.StatusBadRequest,
	beryllatch.ReasonUnauthorized:      http.StatusUnauthorized,
	beryllatch.ReasonForbiddenQueue:    http.StatusForbidden,
	beryllatch.ReasonUnknownQueue:      http.StatusNotFound,
	beryllatch.ReasonTeamCeiling:       http.StatusTooManyRequests,
	beryllatch.ReasonQueueFull:         http.StatusTooManyRequests,
	beryllatch.ReasonRequestInProgress: http.StatusConflict,
	beryllatch.ReasonKeyReused:         http.StatusUnprocessableEntity,
	beryllatch.ReasonJobFailing:        http.StatusUnprocessableEntity,
	beryllatch.ReasonAnswerLost:        http.StatusBadGateway,
	beryllatch.ReasonAnswerMismatch:    http.StatusBadGateway,
	beryllatch.ReasonUnknownTask:       http.StatusNotFound,
	beryllatch.ReasonTaskNotFinished:   http.StatusConflict,
	beryllatch.ReasonAnswerNotKept:     http.StatusGone,
	beryllatch.ReasonBodyTooLarge:      http.StatusRequestEntityTooLarge,
	beryllatch.ReasonRequestTooSlow:    http.StatusRequestTimeout,
}

// Status returns the HTTP status code of a refusal.
func Status(r beryllatch.Refusal) int {
	if s, ok := statuses[r.Reason]; ok {
		return s
	}
	if r.RunState == beryllatch.RunStateUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Write answers the request with the refusal; id is the request id. If a repeat of the same request would be refused
// again, the answer has no Retry-After header.
func Write(w http.ResponseWriter, id string, r beryllatch.Refusal) {
	if r.Reason.Permanent() {
		r.RetryAfter = 0
	}
	status := Status(r)
	body := Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: r.Detail,
		Reason: r.Reason, RunState: r.RunState, RetryAfterMS: r.RetryAfter.Milliseconds(), RequestID: id,
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
