package berylcommand

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
)

// maxAttempts repeats a call of unknown outcome; the operation id keeps it from taking effect twice.
const maxAttempts = 3

// change makes the changes in one configuration version and prints the outcome.
func (s *session) change(changes ...*berylwire.Change) error {
	return s.changeWith(attached{}, changes...)
}

// attached is printed with the outcome of a change, so that the output is one document.
type attached struct {
	// Plan is the generated configuration; as a table it has been printed before.
	Plan *planOutput `json:"plan,omitempty"`
	// Keys holds created keys with their secrets; it is left out if they were surely not created.
	Keys []createdKey `json:"keys,omitempty"`
}

func (s *session) changeWith(a attached, changes ...*berylwire.Change) error {
	return s.apply(&berylwire.ApplyRequest{OperationId: s.settings.OperationID, Changes: changes}, a)
}

func (s *session) apply(q *berylwire.ApplyRequest, a attached) error {
	q.OperationId = s.announceOperation(q.GetOperationId())
	reply, err := s.send(q)
	if err != nil {
		return err
	}
	if berylreducer.OperatorOutcome(reply.GetOutcome()) == berylreducer.OutcomeNotAccepted {
		a.Keys = nil
	}
	if err := s.printOutcome(q.GetOperationId(), reply, a); err != nil {
		return err
	}
	return outcomeError(q.GetOperationId(), reply)
}

// announceOperation prints the id of the call, a new one if it is empty. It is printed before the call, so that it is known
// even if this process ends early.
func (s *session) announceOperation(id string) string {
	if id == "" {
		id = uuid.NewString()
	}
	_, _ = fmt.Fprintln(s.stderr, "operation id:", id)
	return id
}

// outcomeError returns the error for a call that is not known to have taken effect.
func outcomeError(operation string, reply *berylwire.ApplyResponse) error {
	switch berylreducer.OperatorOutcome(reply.GetOutcome()) {
	case berylreducer.OutcomeAccepted:
		return nil
	case berylreducer.OutcomeNotAccepted:
		return &refusedError{reason: reply.GetReason()}
	}
	return &unknownError{operation: operation, reason: reply.GetReason()}
}

func (s *session) send(q *berylwire.ApplyRequest) (*berylwire.ApplyResponse, error) {
	return s.attempt(func(c berylwire.Operator) (*berylwire.ApplyResponse, error) { return c.Apply(s.ctx, q) })
}

// attempt makes the call and repeats it while its outcome is unknown or its node is not able to judge it.
func (s *session) attempt(
	call func(berylwire.Operator) (*berylwire.ApplyResponse, error),
) (*berylwire.ApplyResponse, error) {
	clients, err := s.clients()
	if err != nil {
		return nil, err
	}
	t := trial{repeat: s.settings.OperationID != ""}
	for n := range max(maxAttempts, len(clients)) {
		reply, err := call(clients[n%len(clients)])
		if t.ended(reply, err) {
			break
		}
	}
	return t.result(s.settings.Address)
}

// trial collects what the attempts of one call have shown.
type trial struct {
	reply *berylwire.ApplyResponse
	// repeat is true if the call may have been made before with the same operation id.
	repeat bool
	// doubt is why an attempt may have taken effect; sent is true once there was such an attempt.
	doubt string
	sent  bool
	last  error
}

// ended notes an attempt and reports whether further ones are of no use.
func (t *trial) ended(reply *berylwire.ApplyResponse, err error) bool {
	reason, refused := refusal(err)
	switch {
	case err == nil && settled(reply, t.sent || t.repeat):
		t.reply = reply
		return !unable(reply)
	case err == nil:
		t.doubt, t.sent = reply.GetReason(), true
	case refused && !t.sent:
		t.last = &refusedError{reason: reason}
		return true
	case unsent(err):
		t.last = err
	default:
		t.doubt, t.sent = err.Error(), true
	}
	return false
}

// result returns the outcome of the call after its last attempt.
func (t *trial) result(addresses []string) (*berylwire.ApplyResponse, error) {
	var refused *refusedError
	switch {
	case t.reply != nil && (!t.sent || settled(t.reply, t.sent)):
		return t.reply, nil
	case t.sent:
		return &berylwire.ApplyResponse{Outcome: string(berylreducer.OutcomeUnknown), Reason: t.doubt}, nil
	case errors.As(t.last, &refused):
		return nil, refused
	}
	return nil, &unreachableError{addresses: addresses, err: t.last}
}

// unable reports whether the node could not judge the call, so that another one may.
func unable(reply *berylwire.ApplyResponse) bool {
	return reply.GetOutcome() == string(berylreducer.OutcomeNotAccepted) && reply.GetVersion() == 0 &&
		(reply.GetReason() == berylreducer.ReasonOperationStale || reply.GetReason() == berylreducer.ReasonStopping)
}

// settled reports whether the reply is the outcome of the operation. Once an earlier call may have been sent, a refusal
// counts only if it is recorded with a version; otherwise that call may have taken effect, or may still do so.
func settled(reply *berylwire.ApplyResponse, sent bool) bool {
	switch berylreducer.OperatorOutcome(reply.GetOutcome()) {
	case berylreducer.OutcomeAccepted:
		return true
	case berylreducer.OutcomeNotAccepted:
		return !sent || reply.GetVersion() > 0
	}
	return false
}

// refusal returns the message of a call that the node refused before it looked at the change.
func refusal(err error) (string, bool) {
	var t twirp.Error
	if !errors.As(err, &t) {
		return "", false
	}
	switch t.Code() {
	case twirp.InvalidArgument, twirp.Malformed, twirp.Unauthenticated, twirp.PermissionDenied, twirp.NotFound, twirp.BadRoute:
		return t.Msg(), true
	}
	return "", false
}

// unsent reports whether the connection was never made, so that the call cannot have reached a node.
func unsent(err error) bool {
	var (
		op     *net.OpError
		verify *tls.CertificateVerificationError
	)
	return errors.As(err, &op) && op.Op == "dial" || errors.As(err, &verify)
}

// outcome is the printed result of a change.
type outcome struct {
	OperationID string   `json:"operation_id"`
	Outcome     string   `json:"outcome"`
	Reason      string   `json:"reason,omitempty"`
	Version     uint64   `json:"version,omitempty"`
	InForce     bool     `json:"in_force"`
	WaitingFor  []string `json:"waiting_for,omitempty"`
	attached
}

func (s *session) printOutcome(id string, r *berylwire.ApplyResponse, a attached) error {
	o := outcome{
		OperationID: id, Outcome: r.GetOutcome(), Reason: r.GetReason(), Version: r.GetVersion(),
		InForce: r.GetInForce(), WaitingFor: r.GetWaitingFor(), attached: a,
	}
	if s.settings.Output == "json" {
		return s.printJSON(o)
	}
	if o.Outcome == string(berylreducer.OutcomeAccepted) {
		force := "in force everywhere"
		if !o.InForce {
			force = "not yet confirmed by " + strings.Join(o.WaitingFor, ", ")
		}
		if _, err := fmt.Fprintf(s.stdout, "accepted as version %d, %s\n", o.Version, force); err != nil {
			return err
		}
	}
	for _, k := range a.Keys {
		if _, err := fmt.Fprintf(s.stdout, "key %s of team %s, shown once: %s\n", k.ID, k.Team, k.Secret); err != nil {
			return err
		}
	}
	return nil
}
