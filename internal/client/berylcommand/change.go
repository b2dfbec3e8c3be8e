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

// maxAttempts limits the attempts of a call that gets no final reply. If there are more addresses than that, each
// address gets one attempt. A repeat is safe, since a change takes effect only once for each operation id.
const maxAttempts = 3

// change makes the changes in one configuration version and prints the outcome of the call.
func (s *session) change(changes ...*berylwire.Change) error {
	return s.changeWithExtra(extraOutput{}, changes...)
}

// extraOutput is printed together with the outcome of a change, so that JSON output is a single document.
type extraOutput struct {
	// Plan is the generated configuration. Only JSON output has it here; a table of it is printed before the call.
	Plan *planOutput `json:"plan,omitempty"`
	// Keys holds the created keys with their secrets; it is empty if they were certainly not created.
	Keys []createdKey `json:"keys,omitempty"`
}

// changeWithExtra makes the changes like change, and prints the extra output with the outcome.
func (s *session) changeWithExtra(extra extraOutput, changes ...*berylwire.Change) error {
	return s.apply(&berylwire.ApplyRequest{OperationId: s.settings.OperationID, Changes: changes}, extra)
}

// apply sends the request under its operation id, or a new one if it has none, and prints the outcome.
func (s *session) apply(q *berylwire.ApplyRequest, extra extraOutput) error {
	q.OperationId = s.printOperationID(q.GetOperationId())
	reply, err := s.send(q)
	if err != nil {
		return err
	}
	if berylreducer.OperatorOutcome(reply.GetOutcome()) == berylreducer.OutcomeNotAccepted {
		extra.Keys = nil
	}
	if err := s.printOutcome(q.GetOperationId(), reply, extra); err != nil {
		return err
	}
	return outcomeError(q.GetOperationId(), reply)
}

// printOperationID prints and returns the id of the operation, which is a new one if id is empty. It is called before
// the operation is sent, so that the operator can repeat the operation even if this process is interrupted.
func (s *session) printOperationID(id string) string {
	if id == "" {
		id = uuid.NewString()
	}
	_, _ = fmt.Fprintln(s.stderr, "operation id:", id)
	return id
}

// outcomeError returns nil for an accepted call, and otherwise an error that sets the exit status.
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
	return s.callWithRetries(func(c berylwire.Operator) (*berylwire.ApplyResponse, error) { return c.Apply(s.ctx, q) })
}

// callWithRetries makes the call, and repeats it at the next node while the outcome is unknown, a node cannot be
// reached or the node is unable to decide on the change.
func (s *session) callWithRetries(
	call func(berylwire.Operator) (*berylwire.ApplyResponse, error),
) (*berylwire.ApplyResponse, error) {
	clients, err := s.clients()
	if err != nil {
		return nil, err
	}
	a := attempts{possibleRepeat: s.settings.OperationID != ""}
	for n := range max(maxAttempts, len(clients)) {
		reply, err := call(clients[n%len(clients)])
		if a.record(reply, err) {
			break
		}
	}
	return a.result(s.settings.Address)
}

// attempts collects the results of the attempts of one call.
type attempts struct {
	// reply is the last reply that was final when it came. An unrecorded refusal is no longer final if a later attempt may
	// have had an effect.
	reply *berylwire.ApplyResponse
	// possibleRepeat is true if the operator set the operation id, since an earlier command may have sent the same
	// operation.
	possibleRepeat bool
	// unknownReason says why the outcome of an attempt is unknown; mayHaveEffect is true after such an attempt.
	unknownReason string
	mayHaveEffect bool
	// lastErr is the error of the last attempt that certainly had no effect.
	lastErr error
}

// record stores the result of an attempt and reports whether the call is over, so that no further attempt is needed.
func (a *attempts) record(reply *berylwire.ApplyResponse, err error) bool {
	reason, refused := refusalReason(err)
	switch {
	case err == nil && isFinal(reply, a.mayHaveEffect || a.possibleRepeat):
		a.reply = reply
		return !shouldTryOtherNode(reply)
	case err == nil:
		a.unknownReason, a.mayHaveEffect = reply.GetReason(), true
	case refused && !a.mayHaveEffect:
		a.lastErr = &refusedError{reason: reason}
		return true
	case isConnectError(err):
		a.lastErr = err
	default:
		a.unknownReason, a.mayHaveEffect = err.Error(), true
	}
	return false
}

// result returns the outcome of the call after its last attempt: the final reply, an unknown outcome, or the error of a
// call that had no effect.
func (a *attempts) result(addresses []string) (*berylwire.ApplyResponse, error) {
	var refused *refusedError
	switch {
	case a.reply != nil && (!a.mayHaveEffect || isFinal(a.reply, a.mayHaveEffect)):
		return a.reply, nil
	case a.mayHaveEffect:
		return &berylwire.ApplyResponse{Outcome: string(berylreducer.OutcomeUnknown), Reason: a.unknownReason}, nil
	case errors.As(a.lastErr, &refused):
		return nil, refused
	}
	return nil, &unreachableError{addresses: addresses, err: a.lastErr}
}

// shouldTryOtherNode reports whether the node refused because it is stopping or its configuration may be out of date,
// so that another node may still decide on the change.
func shouldTryOtherNode(reply *berylwire.ApplyResponse) bool {
	return reply.GetOutcome() == string(berylreducer.OutcomeNotAccepted) && reply.GetVersion() == 0 &&
		(reply.GetReason() == berylreducer.ReasonOperationStale || reply.GetReason() == berylreducer.ReasonStopping)
}

// isFinal reports whether the reply is the final outcome of the operation. If an earlier call with the same operation
// id may have been sent, a refusal is final only if it is recorded in a configuration version: without that record, the
// earlier call may have taken effect or may still do so.
func isFinal(reply *berylwire.ApplyResponse, sentBefore bool) bool {
	switch berylreducer.OperatorOutcome(reply.GetOutcome()) {
	case berylreducer.OutcomeAccepted:
		return true
	case berylreducer.OutcomeNotAccepted:
		return !sentBefore || reply.GetVersion() > 0
	}
	return false
}

// refusalReason returns the message of an error by which the node refused the call without carrying it out, and false
// for any other error.
func refusalReason(err error) (string, bool) {
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

// isConnectError reports whether the connection could not be established, so that the call cannot have reached a node.
func isConnectError(err error) bool {
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
	extraOutput
}

func (s *session) printOutcome(id string, r *berylwire.ApplyResponse, extra extraOutput) error {
	o := outcome{
		OperationID: id, Outcome: r.GetOutcome(), Reason: r.GetReason(), Version: r.GetVersion(),
		InForce: r.GetInForce(), WaitingFor: r.GetWaitingFor(), extraOutput: extra,
	}
	if s.settings.Output == "json" {
		return s.printJSON(o)
	}
	if o.Outcome == string(berylreducer.OutcomeAccepted) {
		inForce := "in force everywhere"
		if !o.InForce {
			inForce = "not yet confirmed by " + strings.Join(o.WaitingFor, ", ")
		}
		if _, err := fmt.Fprintf(s.stdout, "accepted as version %d, %s\n", o.Version, inForce); err != nil {
			return err
		}
	}
	for _, k := range extra.Keys {
		if _, err := fmt.Fprintf(s.stdout, "key %s of team %s, shown once: %s\n", k.ID, k.Team, k.Secret); err != nil {
			return err
		}
	}
	return nil
}
