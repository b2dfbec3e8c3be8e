package berylheader

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The names of the headers.
const (
	RequestID      = "Beryllatch-Request-Id"
	Idempotent     = "Beryllatch-Idempotent"
	Deadline       = "Beryllatch-Deadline-Ms"
	Urgent         = "Beryllatch-Urgent"
	IdempotencyKey = "Idempotency-Key"
)

// MaxKeyLength is the largest length in bytes of an API key's secret and of an idempotency key.
const MaxKeyLength = 255

// Error reports a header with an invalid value.
type Error struct {
	Header string
	Reason string
}

// Error names the header and the reason.
func (e *Error) Error() string { return fmt.Sprintf("header %s: %s", e.Header, e.Reason) }

// SingleValue returns the value of a header, or the empty string if it is missing. A repeated header is an error, since
// its meaning would be ambiguous.
func SingleValue(r *http.Request, name string) (string, error) {
	v := r.Header.Values(name)
	if len(v) > 1 {
		return "", &Error{Header: name, Reason: "must not be repeated"}
	}
	if len(v) == 0 {
		return "", nil
	}
	return v[0], nil
}

// KeyHash returns the hash of the API key's secret, or the empty string if the request has no key.
func KeyHash(r *http.Request) (string, error) {
	v, err := SingleValue(r, "Authorization")
	if err != nil || v == "" {
		return "", err
	}
	scheme, secret, ok := strings.Cut(v, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > MaxKeyLength {
		return "", &Error{Header: "Authorization", Reason: "must be Bearer and a key"}
	}
	return beryllatch.HashSecret(secret), nil
}

// IdempotencyKeyHash returns the hash of the idempotency key, or the empty string if the request has none.
func IdempotencyKeyHash(r *http.Request) (string, error) {
	v, err := SingleValue(r, IdempotencyKey)
	if err != nil || v == "" {
		return "", err
	}
	if len(v) > MaxKeyLength {
		return "", &Error{Header: IdempotencyKey, Reason: fmt.Sprintf("must have at most %d bytes", MaxKeyLength)}
	}
	return beryllatch.HashSecret(v), nil
}

// Flag returns the value of a header that must be true or false; a missing header is false.
func Flag(r *http.Request, name string) (bool, error) {
	v, err := SingleValue(r, name)
	if err != nil {
		return false, err
	}
	switch v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, &Error{Header: name, Reason: "must be true or false"}
	}
}

// DeadlineWithin returns the time that the caller gives the request, or zero if the header is missing. A deadline that
// is longer than longest is an error.
func DeadlineWithin(r *http.Request, longest time.Duration) (time.Duration, error) {
	v, err := SingleValue(r, Deadline)
	if err != nil || v == "" {
		return 0, err
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > longest.Milliseconds() {
		reason := fmt.Sprintf("must be between 1 and %d milliseconds", longest.Milliseconds())
		return 0, &Error{Header: Deadline, Reason: reason}
	}
	return time.Duration(n) * time.Millisecond, nil
}

// CheckBodyLength returns an error if the declared length of the body is greater than longest, in bytes.
func CheckBodyLength(r *http.Request, longest int64) error {
	if r.ContentLength > longest {
		return &Error{Header: "Content-Length", Reason: fmt.Sprintf("must be at most %d bytes", longest)}
	}
	return nil
}
