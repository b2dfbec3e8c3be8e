package beryltaskapi

import (
	"fmt"
	"net/http"
	"regexp"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylheader"
	"github.com/gorilla/mux"
)

const (
	// maxPayload is the largest payload of a task in bytes.
	maxPayload = 64 << 20
	// maxDeadline is the longest time that a caller may give a task.
	maxDeadline = 30 * 24 * time.Hour
)

var taskIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

// TaskIDError reports a path with a malformed task id.
type TaskIDError struct{ ID string }

// Error names the id and the pattern that task ids match.
func (e *TaskIDError) Error() string {
	return fmt.Sprintf("task id %q: must match %s", e.ID, taskIDPattern)
}

// parseSubmission validates the headers of a submission and returns its event, without the ids of the call and the
// task.
func parseSubmission(r *http.Request) (berylreducer.TaskSubmitted, error) {
	s := berylreducer.TaskSubmitted{Queue: mux.Vars(r)["queue"]}
	var err error
	if s.KeyHash, err = berylheader.KeyHash(r); err != nil {
		return s, err
	}
	if s.IdempotencyKey, err = berylheader.IdempotencyKeyHash(r); err != nil {
		return s, err
	}
	urgent, err := berylheader.Flag(r, berylheader.Urgent)
	if err != nil {
		return s, err
	}
	if urgent {
		return s, &berylheader.Error{Header: berylheader.Urgent, Reason: "a task can wait; use a request for urgent work"}
	}
	if s.Idempotent, err = berylheader.Flag(r, berylheader.Idempotent); err != nil {
		return s, err
	}
	if s.Deadline, err = berylheader.DeadlineWithin(r, maxDeadline); err != nil {
		return s, err
	}
	if r.ContentLength < 0 {
		// The object store needs the size of a payload before its first byte.
		return s, &berylheader.Error{Header: "Content-Length", Reason: "is required"}
	}
	return s, berylheader.CheckBodyLength(r, maxPayload)
}

// parseLookup returns the API key's hash and the task id of a call about an existing task.
func parseLookup(r *http.Request) (key, id string, err error) {
	id = mux.Vars(r)["id"]
	if !taskIDPattern.MatchString(id) {
		return "", "", &TaskIDError{ID: id}
	}
	key, err = berylheader.KeyHash(r)
	return key, id, err
}
