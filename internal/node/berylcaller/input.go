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

	// maxBody is the largest body of a request in bytes.
	maxBody = 1 << 30
	// maxDeadline is the largest value that the header may have; the reducer shortens deadlines to its own limit.
	maxDeadline = math.MaxInt32 * time.Millisecond
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// request holds what the node needs to know of an HTTP request.
type request struct {
	// id identifies the request within the node. It is always made by the node, since callers may repeat their ids.
	id string
	// callerID is the request id that the caller has sent, or empty. It is passed on and named in refusals.
	callerID string
	queue    string
	// keyHash and idempotencyKey are hashes of the header values.
	keyHash        string
	idempotencyKey string
	idempotent     bool
	urgent         bool
	deadline       time.Duration
	body           *body
}

// parseRequest validates the headers. The returned request has an id even if there is an error.
func parseRequest(r *http.Request) (*request, error) {
	q := &request{id: uuid.NewString(), queue: mux.Vars(r)["queue"], body: newBody(r)}
	err := q.parseRequestID(r)
	if err == nil {
		q.keyHash, err = berylheader.KeyHash(r)
	}
	if err == nil {
		q.idempotencyKey, err = berylheader.IdempotencyKeyHash(r)
	}
	if err == nil {
		q.idempotent, err = berylheader.Flag(r, berylheader.Idempotent)
	}
	if err == nil {
		q.urgent, err = berylheader.Flag(r, berylheader.Urgent)
	}
	if err == nil {
		q.deadline, err = berylheader.DeadlineWithin(r, maxDeadline)
	}
	if err == nil {
		err = berylheader.CheckBodyLength(r, maxBody)
	}
	return q, err
}

// publicID returns the request id for the caller and the worker: the caller's own id, or else that of the node.
func (q *request) publicID() string {
	if q.callerID != "" {
		return q.callerID
	}
	return q.id
}

// arrival returns the event that passes the request to the reducer.
func (q *request) arrival() berylreducer.RequestArrived {
	return berylreducer.RequestArrived{
		ID: q.id, KeyHash: q.keyHash, Queue: q.queue, Idempotent: q.idempotent,
		IdempotencyKey: q.idempotencyKey, BodyHash: q.body.hash(), Deadline: q.deadline, Urgent: q.urgent,
	}
}

func (q *request) parseRequestID(r *http.Request) error {
	v, err := berylheader.SingleValue(r, berylheader.RequestID)
	if err != nil {
		return err
	}
	if v != "" && !requestIDPattern.MatchString(v) {
		return &berylheader.Error{Header: berylheader.RequestID, Reason: "must match " + requestIDPattern.String()}
	}
	q.callerID = v
	return nil
}
