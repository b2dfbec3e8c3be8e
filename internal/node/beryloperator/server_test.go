package beryloperator

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"
)

// fakeNode records the calls; all methods but Task return err, and ApplyChanges returns reply.
type fakeNode struct {
	applyCalls   []berylreducer.ChangesRequested
	resolveCalls []berylreducer.TaskResolveRequested
	reply        berylreducer.ReplyOperator
	err          error
}

func (f *fakeNode) ApplyChanges(
	_ context.Context, e berylreducer.ChangesRequested,
) (berylreducer.ReplyOperator, error) {
	f.applyCalls = append(f.applyCalls, e)
	return f.reply, f.err
}

func (f *fakeNode) Config(context.Context) (beryllatch.Config, error) {
	k := beryllatch.APIKey{ID: "k1", Team: "red", Hash: strings.Repeat("1", 64)}
	return beryllatch.Config{Version: 7}.WithAPIKey(k), f.err
}

func (f *fakeNode) Status(context.Context) (*berylwire.GetStatusResponse, error) {
	return &berylwire.GetStatusResponse{Node: "n1"}, f.err
}

func (f *fakeNode) Task(_ context.Context, id string) (beryllatch.Task, error) {
	return beryllatch.Task{}, &TaskNotFoundError{ID: id}
}

func (f *fakeNode) WaitingTasks(
	_ context.Context, _ []beryllatch.TaskState, after string, limit int,
) ([]beryllatch.Task, error) {
	all := []beryllatch.Task{{ID: "t1"}, {ID: "t2"}, {ID: "t3"}}
	all = slices.DeleteFunc(all, func(t beryllatch.Task) bool { return t.ID <= after })
	return all[:min(len(all), limit)], f.err
}

func (f *fakeNode) ResolveTask(
	_ context.Context, e berylreducer.TaskResolveRequested,
) (berylreducer.ReplyTaskResolve, error) {
	f.resolveCalls = append(f.resolveCalls, e)
	return berylreducer.ReplyTaskResolve{
		Outcome: berylreducer.OutcomeAccepted, Settled: true, Task: beryllatch.Task{ID: e.TaskID},
	}, f.err
}

func (f *fakeNode) serve(t *testing.T, token string) berylwire.Operator {
	t.Helper()
	h := New(f, []Credential{
		{Name: "ada", Hash: sha256.Sum256([]byte("token-a"))},
		{Name: "bob", Hash: sha256.Sum256([]byte("token-b"))},
	}, WithMaxBody(4096))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Authorization", token)
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return berylwire.NewOperatorProtobufClient(server.URL, server.Client())
}

func errorCode(t *testing.T, err error) twirp.ErrorCode {
	t.Helper()
	var e twirp.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Code()
}

func drainChange(id string) *berylwire.Change {
	return &berylwire.Change{Change: &berylwire.Change_DrainInstance{DrainInstance: id}}
}

// TestIdentity guards against accepting calls without a known token, and against recording a change under the name of
// another operator.
func TestIdentity(t *testing.T) {
	f := &fakeNode{reply: berylreducer.ReplyOperator{Outcome: berylreducer.OutcomeAccepted, Version: 8, InForce: true}}
	q := &berylwire.ApplyRequest{OperationId: "op1", Changes: []*berylwire.Change{drainChange("w1")}}
	for _, token := range []string{"", "Bearer ", "Bearer token-c", "token-a"} {
		_, err := f.serve(t, token).Apply(t.Context(), q)
		assert.Equal(t, errorCode(t, err), twirp.Unauthenticated, "token %q", token)
	}
	reply, err := f.serve(t, "Bearer token-b").Apply(t.Context(), q)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetOutcome() == "accepted" && reply.GetVersion() == 8 && reply.GetInForce())
	assert.DeepEqual(t, f.applyCalls, []berylreducer.ChangesRequested{{
		CallID: "operator-1", Operator: "bob", OperationID: "op1", Changes: []berylplan.Change{berylplan.DrainInstance{ID: "w1"}},
	}})
}

// TestValidation guards against invalid calls that reach the node.
func TestValidation(t *testing.T) {
	f := &fakeNode{}
	o := f.serve(t, "Bearer token-a")
	for name, q := range map[string]*berylwire.ApplyRequest{
		"no id":        {Changes: []*berylwire.Change{drainChange("w1")}},
		"bad id":       {OperationId: "a b", Changes: []*berylwire.Change{drainChange("w1")}},
		"no change":    {OperationId: "op1"},
		"empty change": {OperationId: "op1", Changes: []*berylwire.Change{{}}},
	} {
		_, err := o.Apply(t.Context(), q)
		assert.Equal(t, errorCode(t, err), twirp.InvalidArgument, name)
	}
	_, err := o.Apply(t.Context(), &berylwire.ApplyRequest{
		OperationId: "op1", Changes: []*berylwire.Change{drainChange(strings.Repeat("w", 8192))},
	})
	assert.Equal(t, errorCode(t, err), twirp.InvalidArgument)
	_, err = o.GetTask(t.Context(), &berylwire.GetTaskRequest{Id: "t1"})
	assert.Equal(t, errorCode(t, err), twirp.NotFound)
	assert.Equal(t, len(f.applyCalls), 0)
}

// TestChunkedBodyIsBounded guards against a body without a declared length that exhausts the node's memory.
func TestChunkedBodyIsBounded(t *testing.T) {
	h := New(&fakeNode{}, []Credential{{Name: "ada", Hash: sha256.Sum256([]byte("token-a"))}}, WithMaxBody(10))
	body := io.MultiReader(strings.NewReader("0123456789"), strings.NewReader("0123456789"))
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, berylwire.OperatorPathPrefix+"Apply", body)
	r.Header.Set("Authorization", "Bearer token-a")
	r.Header.Set("Content-Type", "application/protobuf")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	assert.Assert(t, w.Code >= 400, "status %d", w.Code)
}

// TestLostReplyIsUnknown guards against reporting a change as not accepted when the node's reply was too late: the
// change may have been stored.
func TestLostReplyIsUnknown(t *testing.T) {
	f := &fakeNode{err: context.DeadlineExceeded}
	reply, err := f.serve(t, "Bearer token-a").Apply(t.Context(), &berylwire.ApplyRequest{
		OperationId: "op1", Changes: []*berylwire.Change{drainChange("w1")},
	})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), "unknown")
}

// TestConfigWithoutHashes guards against sending the hashes of API keys to operators.
func TestConfigWithoutHashes(t *testing.T) {
	v, err := (&fakeNode{}).serve(t, "Bearer token-a").GetConfig(t.Context(), &berylwire.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Assert(t, v.GetVersion() == 7 && !strings.Contains(string(v.GetConfig()), "1111"), "%s", v.GetConfig())
}

// TestParseCredential guards against accepting a truncated or malformed hash, and against a hash in an error message.
func TestParseCredential(t *testing.T) {
	digits := strings.Repeat("ab", 32)
	c, err := ParseCredential("ada:" + digits)
	assert.NilError(t, err)
	assert.Equal(t, c.Name, "ada")
	for _, s := range []string{"", "ada", ":" + digits, "ada:" + digits[2:], "ada:" + digits[1:] + "x"} {
		_, err := ParseCredential(s)
		var e *CredentialError
		assert.Assert(t, errors.As(err, &e), "%q", s)
		assert.Assert(t, !strings.Contains(err.Error(), "abab"))
	}
}

// TestTaskCalls guards against invalid decisions that reach the node, against recording a decision under the name of
// another operator, and against lists that have no limit or leave tasks out between two pages.
func TestTaskCalls(t *testing.T) {
	f := &fakeNode{}
	o := f.serve(t, "Bearer token-b")
	for name, q := range map[string]*berylwire.ResolveTaskRequest{
		"no operation": {Id: "t1", As: "done", Reason: "r"},
		"no id":        {OperationId: "op1", As: "done", Reason: "r"},
		"no reason":    {OperationId: "op1", Id: "t1", As: "done"},
		"long reason":  {OperationId: "op1", Id: "t1", As: "done", Reason: strings.Repeat("r", maxReason+1)},
		"no verdict":   {OperationId: "op1", Id: "t1", Reason: "r"},
		"not run":      {OperationId: "op1", Id: "t1", As: "failed", Reason: "r", NotRun: true},
	} {
		_, err := o.ResolveTask(t.Context(), q)
		assert.Equal(t, errorCode(t, err), twirp.InvalidArgument, name)
	}
	q := &berylwire.ResolveTaskRequest{OperationId: "op1", Id: "t1", As: "requeue", Reason: "r", NotRun: true}
	reply, err := o.ResolveTask(t.Context(), q)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetOutcome() == "accepted" && reply.GetSettled() && reply.GetTask().GetId() == "t1")
	assert.DeepEqual(t, f.resolveCalls, []berylreducer.TaskResolveRequested{{
		CallID: "operator-task-1", TaskID: "t1", OperationID: "op1", Operator: "bob", As: beryllatch.VerdictRequeue,
		Reason: "r", NotRun: true,
	}})
	for _, q := range []*berylwire.ListTasksRequest{{States: []string{"done"}}, {Limit: -1}, {Limit: maxListLimit + 1}} {
		_, err := o.ListTasks(t.Context(), q)
		assert.Equal(t, errorCode(t, err), twirp.InvalidArgument)
	}
	var ids []string
	for after := ""; ; {
		page, err := o.ListTasks(t.Context(), &berylwire.ListTasksRequest{States: []string{"parked"}, After: after, Limit: 2})
		assert.NilError(t, err)
		for _, x := range page.GetTasks() {
			ids = append(ids, x.GetId())
		}
		if after = page.GetNext(); after == "" {
			break
		}
	}
	assert.DeepEqual(t, ids, []string{"t1", "t2", "t3"})
	f.err = context.DeadlineExceeded
	reply, err = o.ResolveTask(t.Context(), q)
	assert.Assert(t, err == nil && reply.GetOutcome() == "unknown" && !reply.GetSettled())
}
