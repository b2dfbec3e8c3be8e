package berylcaller

import (
	"math"
	"net/http"
	"regexp"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylheader"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

const (
	headerReplayed = "Idempotent-Replayed"

	// maxBody bounds a request's body.
	maxBody = 1 << 30
	// maxDeadline bounds the header only; the reducer shortens longer deadlines.
	maxDeadline = math.MaxInt32 * time.Millisecond
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// request is a checked request.
type request struct {
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

// parseRequest checks the headers; the returned input always has an id.
func parseRequest(r *http.Request) (*request, error) {
	in := &request{id: uuid.NewString(), queue: mux.Vars(r)["queue"], body: newBody(r)}
	err := in.parseRequestID(r)
	if err == nil {
		in.keyHash, err = berylheader.KeyHash(r)
	}
	if err == nil {
		in.idempotencyKey, err = berylheader.IdempotencyKeyHash(r)
	}
	if err == nil {
		in.idempotent, err = berylheader.Flag(r, berylheader.Idempotent)
	}
	if err == nil {
		in.urgent, err = berylheader.Flag(r, berylheader.Urgent)
	}
	if err == nil {
		in.deadline, err = berylheader.DeadlineWithin(r, maxDeadline)
	}
	if err == nil {
		err = berylheader.CheckLength(r, maxBody)
	}
	return in, err
}

// publicID is the request id that the caller and the worker see.
func (in *request) publicID() string {
	if in.callerID != "" {
		return in.callerID
	}
	return in.id
}

func (in *request) arrival() berylreducer.RequestArrived {
	return berylreducer.RequestArrived{
		ID: in.id, KeyHash: in.keyHash, Queue: in.queue, Idempotent: in.idempotent,
		IdempotencyKey: in.idempotencyKey, BodyHash: in.body.hash(), Deadline: in.deadline, Urgent: in.urgent,
	}
}

func (in *request) parseRequestID(r *http.Request) error {
	v, err := berylheader.Single(r, berylheader.RequestID)
	if err != nil {
		return err
	}
	if v != "" && !requestIDPattern.MatchString(v) {
		return &berylheader.Error{Header: berylheader.RequestID, Reason: "must match " + requestIDPattern.String()}
	}
	in.callerID = v
	return nil
}
