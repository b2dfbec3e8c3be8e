package berylcaller

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

const (
	headerRequestID      = "Beryllatch-Request-Id"
	headerIdempotent     = "Beryllatch-Idempotent"
	headerDeadline       = "Beryllatch-Deadline-Ms"
	headerUrgent         = "Beryllatch-Urgent"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"

	maxKeyLength = 255
	// maxBody bounds a request's body.
	maxBody = 1 << 30
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// HeaderError reports a header that cannot be used.
type HeaderError struct {
	Header string
	Reason string
}

// Error names the header and the reason.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %s", e.Header, e.Reason) }

// input is a checked request.
type input struct {
	// id names the request inside the system; the caller's own id is only passed on.
	id             string
	callerID       string
	queue          string
	keyHash        string
	idempotencyKey string
	idempotent     bool
	urgent         bool
	deadline       time.Duration
	body           *body
}

// parse checks the headers; the returned input always has an id.
func parse(r *http.Request) (*input, error) {
	in := &input{id: uuid.NewString(), queue: mux.Vars(r)["queue"], body: newBody(r)}
	steps := []func(*http.Request) error{
		in.parseRequestID, in.parseKey, in.parseIdempotencyKey, in.parseFlags, in.parseDeadline, in.parseLength,
	}
	for _, step := range steps {
		if err := step(r); err != nil {
			return in, err
		}
	}
	return in, nil
}

// publicID is the request id that the caller and the worker see.
func (in *input) publicID() string {
	if in.callerID != "" {
		return in.callerID
	}
	return in.id
}

func (in *input) arrival() berylreducer.RequestArrived {
	return berylreducer.RequestArrived{
		ID: in.id, KeyHash: in.keyHash, Queue: in.queue, Idempotent: in.idempotent,
		IdempotencyKey: in.idempotencyKey, BodyHash: in.body.hash(), Deadline: in.deadline, Urgent: in.urgent,
	}
}

func single(r *http.Request, name string) (string, error) {
	v := r.Header.Values(name)
	if len(v) > 1 {
		return "", &HeaderError{Header: name, Reason: "must not be repeated"}
	}
	if len(v) == 0 {
		return "", nil
	}
	return v[0], nil
}

func (in *input) parseRequestID(r *http.Request) error {
	v, err := single(r, headerRequestID)
	if err != nil {
		return err
	}
	if v != "" && !requestIDPattern.MatchString(v) {
		return &HeaderError{Header: headerRequestID, Reason: "must match " + requestIDPattern.String()}
	}
	in.callerID = v
	return nil
}

func (in *input) parseKey(r *http.Request) error {
	v, err := single(r, "Authorization")
	if err != nil || v == "" {
		return err
	}
	scheme, secret, ok := strings.Cut(v, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > maxKeyLength {
		return &HeaderError{Header: "Authorization", Reason: "must be Bearer and a key"}
	}
	in.keyHash = beryllatch.HashSecret(secret)
	return nil
}

func (in *input) parseIdempotencyKey(r *http.Request) error {
	v, err := single(r, headerIdempotencyKey)
	if err != nil || v == "" {
		return err
	}
	if len(v) > maxKeyLength {
		return &HeaderError{Header: headerIdempotencyKey, Reason: "must have at most 255 bytes"}
	}
	in.idempotencyKey = beryllatch.HashSecret(v)
	return nil
}

func (in *input) parseFlags(r *http.Request) error {
	for name, target := range map[string]*bool{headerIdempotent: &in.idempotent, headerUrgent: &in.urgent} {
		v, err := single(r, name)
		if err != nil {
			return err
		}
		switch v {
		case "", "false":
		case "true":
			*target = true
		default:
			return &HeaderError{Header: name, Reason: "must be true or false"}
		}
	}
	return nil
}

func (in *input) parseDeadline(r *http.Request) error {
	v, err := single(r, headerDeadline)
	if err != nil || v == "" {
		return err
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 1 {
		return &HeaderError{Header: headerDeadline, Reason: "must be a positive number of milliseconds"}
	}
	in.deadline = time.Duration(n) * time.Millisecond
	return nil
}

func (in *input) parseLength(r *http.Request) error {
	if r.ContentLength > maxBody {
		return &HeaderError{Header: "Content-Length", Reason: "must be at most " + strconv.Itoa(maxBody)}
	}
	return nil
}
