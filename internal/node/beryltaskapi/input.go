package beryltaskapi

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/gorilla/mux"
)

const (
	headerRequestID      = "Beryllatch-Request-Id"
	headerIdempotent     = "Beryllatch-Idempotent"
	headerDeadline       = "Beryllatch-Deadline-Ms"
	headerUrgent         = "Beryllatch-Urgent"
	headerIdempotencyKey = "Idempotency-Key"

	// maxPayload bounds a task's body in bytes.
	maxPayload = 64 << 20
	// maxHeader bounds a key in bytes.
	maxHeader   = 255
	maxDeadline = 30 * 24 * time.Hour
)

var taskIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

// InputError reports a part of a call that cannot be used.
type InputError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *InputError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// parseOffer checks the headers of a submission.
func parseOffer(r *http.Request) (berylreducer.TaskOffered, error) {
	offer := berylreducer.TaskOffered{Queue: mux.Vars(r)["queue"]}
	steps := []func(*http.Request, *berylreducer.TaskOffered) error{
		parseKeys, parseFlags, parseDeadline, parseLength,
	}
	for _, step := range steps {
		if err := step(r, &offer); err != nil {
			return offer, err
		}
	}
	return offer, nil
}

// parseAsk returns the key hash and the task id of a question about a task.
func parseAsk(r *http.Request) (key, id string, err error) {
	id = mux.Vars(r)["id"]
	if !taskIDPattern.MatchString(id) {
		return "", "", &InputError{Field: "task id", Reason: "must match " + taskIDPattern.String()}
	}
	key, err = bearer(r)
	return key, id, err
}

func single(r *http.Request, name string) (string, error) {
	v := r.Header.Values(name)
	if len(v) > 1 {
		return "", &InputError{Field: name, Reason: "must not be repeated"}
	}
	return r.Header.Get(name), nil
}

// bearer returns the hash of the presented secret; empty without one.
func bearer(r *http.Request) (string, error) {
	v, err := single(r, "Authorization")
	if err != nil || v == "" {
		return "", err
	}
	scheme, secret, ok := strings.Cut(v, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > maxHeader {
		return "", &InputError{Field: "Authorization", Reason: "must be Bearer and a key"}
	}
	return beryllatch.HashSecret(secret), nil
}

func parseKeys(r *http.Request, o *berylreducer.TaskOffered) error {
	var err error
	if o.KeyHash, err = bearer(r); err != nil {
		return err
	}
	v, err := single(r, headerIdempotencyKey)
	switch {
	case err != nil:
		return err
	case len(v) > maxHeader:
		return &InputError{Field: headerIdempotencyKey, Reason: fmt.Sprintf("must have at most %d bytes", maxHeader)}
	case v != "":
		o.IdempotencyKey = beryllatch.HashSecret(v)
	}
	return nil
}

func parseFlags(r *http.Request, o *berylreducer.TaskOffered) error {
	urgent, err := flag(r, headerUrgent)
	if err != nil {
		return err
	}
	if urgent {
		return &InputError{Field: headerUrgent, Reason: "a task can wait; use a request for urgent work"}
	}
	o.Idempotent, err = flag(r, headerIdempotent)
	return err
}

func flag(r *http.Request, name string) (bool, error) {
	v, err := single(r, name)
	if err != nil {
		return false, err
	}
	switch v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, &InputError{Field: name, Reason: "must be true or false"}
	}
}

func parseDeadline(r *http.Request, o *berylreducer.TaskOffered) error {
	v, err := single(r, headerDeadline)
	if err != nil || v == "" {
		return err
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
		reason := fmt.Sprintf("must be between 1 and %d milliseconds", maxDeadline.Milliseconds())
		return &InputError{Field: headerDeadline, Reason: reason}
	}
	o.Deadline = time.Duration(n) * time.Millisecond
	return nil
}

// parseLength requires a length, since an object is stored with its size.
func parseLength(r *http.Request, _ *berylreducer.TaskOffered) error {
	if r.ContentLength < 0 {
		return &InputError{Field: "Content-Length", Reason: "is required"}
	}
	if r.ContentLength > maxPayload {
		return &InputError{Field: "Content-Length", Reason: fmt.Sprintf("must be at most %d bytes", maxPayload)}
	}
	return nil
}
