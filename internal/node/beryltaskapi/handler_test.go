package beryltaskapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
)

// fakeStore is an object store in memory; reading the object named failAt fails.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	failAt  string
}

func (f *fakeStore) Put(_ context.Context, name string, r io.Reader, _ int64) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = b
	return nil
}

func (f *fakeStore) Get(_ context.Context, name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.failAt {
		return nil, errors.New("store is unavailable")
	}
	return io.NopCloser(bytes.NewReader(f.objects[name])), nil
}

func (f *fakeStore) Delete(context.Context, string) error { return nil }

// fakeTable records the keys of all writes and returns err.
type fakeTable struct {
	beryllatch.Table
	keys []beryllatch.RowKey
	err  error
}

func (f *fakeTable) Transact(_ context.Context, writes ...beryllatch.RowWrite) error {
	for _, w := range writes {
		f.keys = append(f.keys, w.Row.Key)
	}
	return f.err
}

// testAPI is a handler with a function in place of the reducer; events holds what the handler has posted.
type testAPI struct {
	Handler
	store  *fakeStore
	mu     sync.Mutex
	events []berylreducer.Event
}

func newTestAPI(t *testing.T, reduce func(berylreducer.Event) berylreducer.Effect) (*testAPI, *httptest.Server) {
	t.Helper()
	a := &testAPI{store: &fakeStore{objects: map[string][]byte{}}}
	a.Store, a.Table = a.store, &fakeTable{}
	a.Post = func(e berylreducer.Event) {
		a.mu.Lock()
		a.events = append(a.events, e)
		a.mu.Unlock()
		a.Deliver(reduce(e))
	}
	r := mux.NewRouter()
	a.Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return a, s
}

// acceptAll returns a reducer that admits every submission and answers every call with the task.
func acceptAll(task beryllatch.Task) func(berylreducer.Event) berylreducer.Effect {
	return func(e berylreducer.Event) berylreducer.Effect {
		switch e := e.(type) {
		case berylreducer.TaskSubmitted:
			return berylreducer.ReceivePayload{CallID: e.CallID, TaskID: e.TaskID}
		case berylreducer.PayloadReceived:
			return berylreducer.AnswerTask{CallID: e.CallID, Task: task, Accepted: true}
		case berylreducer.PayloadFailed:
			return berylreducer.RefuseTask{CallID: e.CallID, Refusal: beryllatch.Refusal{Reason: e.Reason}}
		case berylreducer.TaskQueried:
			return berylreducer.AnswerTask{CallID: e.CallID, Task: task, Accepted: e.Cancel}
		default:
			return nil
		}
	}
}

func do(t *testing.T, method, url string, body io.Reader, header ...string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, body)
	assert.NilError(t, err)
	for n := 0; n < len(header); n += 2 {
		r.Header.Add(header[n], header[n+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a key that reaches the reducer without being hashed, against large payloads that are held in memory,
// and against a large payload that is stored before its row for deletion.
func TestSubmit(t *testing.T) {
	a, s := newTestAPI(t, acceptAll(beryllatch.Task{ID: "t1", Queue: "q", State: beryllatch.TaskQueued}))
	large := bytes.Repeat([]byte("x"), 100_000)
	for _, body := range [][]byte{[]byte("small"), large} {
		status, answer, _ := do(t, http.MethodPost, s.URL+"/v1/queues/q/tasks", bytes.NewReader(body),
			"Authorization", "Bearer secret", "Idempotency-Key", "k", "Beryllatch-Idempotent", "true")
		assert.Equal(t, status, http.StatusAccepted)
		assert.Equal(t, answer, `{"task_id":"t1","queue":"q","state":"queued"}`+"\n")
	}
	submission := a.events[0].(berylreducer.TaskSubmitted)
	assert.Equal(t, submission.KeyHash, beryllatch.HashSecret("secret"))
	assert.Equal(t, submission.IdempotencyKey, beryllatch.HashSecret("k"))
	assert.Assert(t, submission.Idempotent)
	assert.Equal(t, string(a.events[1].(berylreducer.PayloadReceived).Payload), "small")
	stored := a.events[3].(berylreducer.PayloadReceived)
	assert.Equal(t, len(stored.Payload), 0)
	assert.Assert(t, bytes.Equal(a.store.objects[stored.Object], large))
	// Without this row, the payload of a task that is not accepted would never be deleted.
	table := a.Table.(*fakeTable)
	assert.Assert(t, len(table.keys) == 1 && strings.HasSuffix(table.keys[0].Sort, stored.Object))
	table.err = &beryllatch.UnavailableError{Err: io.EOF}
	_, _, _ = do(t, http.MethodPost, s.URL+"/v1/queues/q/tasks", bytes.NewReader(large))
	assert.Equal(t, a.events[5].(berylreducer.PayloadFailed).Reason, beryllatch.ReasonPlatformUnavailable)
	assert.Equal(t, len(a.store.objects), 1)
}

// Guards against accepting ambiguous or malformed input.
func TestSubmitBadInput(t *testing.T) {
	a, s := newTestAPI(t, acceptAll(beryllatch.Task{}))
	for _, c := range []struct {
		name   string
		header []string
		body   io.Reader
		want   string
	}{
		{"repeated key", []string{"Authorization", "Bearer a", "Authorization", "Bearer b"}, nil, "must not be repeated"},
		{"no scheme", []string{"Authorization", "a"}, nil, "must be Bearer and a key"},
		{"bad flag", []string{berylheader.Idempotent, "yes"}, nil, "must be true or false"},
		{"urgent", []string{berylheader.Urgent, "true"}, nil, "use a request"},
		{"deadline", []string{berylheader.Deadline, "0"}, nil, "must be between 1 and"},
		{"long key", []string{berylheader.IdempotencyKey, strings.Repeat("k", 256)}, nil, "at most 255 bytes"},
		{"no length", nil, io.MultiReader(strings.NewReader("x")), "is required"},
		{"too long", nil, bytes.NewReader(make([]byte, maxPayload+1)), "must be at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, answer, _ := do(t, http.MethodPost, s.URL+"/v1/queues/q/tasks", c.body, c.header...)
			assert.Equal(t, status, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(answer, c.want), answer)
			assert.Assert(t, strings.Contains(answer, `"run_state":"not_run"`))
		})
	}
	assert.Equal(t, len(a.events), 0)
}

// Guards against a refusal whose reason does not reach the caller, and against a malformed task id that is looked up.
func TestRefusal(t *testing.T) {
	_, s := newTestAPI(t, func(e berylreducer.Event) berylreducer.Effect {
		return berylreducer.RefuseTask{CallID: e.(berylreducer.TaskQueried).CallID, Refusal: beryllatch.Refusal{
			Reason: beryllatch.ReasonUnknownTask, RunState: beryllatch.RunStateNotRun,
		}}
	})
	status, answer, _ := do(t, http.MethodGet, s.URL+"/v1/tasks/t1", nil)
	assert.Equal(t, status, http.StatusNotFound)
	assert.Assert(t, strings.Contains(answer, `"reason":"unknown_task"`))
	status, _, _ = do(t, http.MethodGet, s.URL+"/v1/tasks/a_b", nil)
	assert.Equal(t, status, http.StatusBadRequest)
}

// Guards against a truncated result that the caller takes for complete, and against a wrong status of a cancellation.
func TestAskCancelResult(t *testing.T) {
	task := beryllatch.Task{ID: "t1", Queue: "q", State: beryllatch.TaskDone, ResultObject: "r", ResultParts: 2}
	a, s := newTestAPI(t, acceptAll(task))
	a.store.objects["r/0"], a.store.objects["r/1"] = []byte("one,"), []byte("two")
	status, answer, _ := do(t, http.MethodGet, s.URL+"/v1/tasks/t1", nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, `{"task_id":"t1","queue":"q","state":"done"}`+"\n")
	status, _, _ = do(t, http.MethodDelete, s.URL+"/v1/tasks/t1", nil)
	assert.Equal(t, status, http.StatusAccepted)
	status, answer, err := do(t, http.MethodGet, s.URL+"/v1/tasks/t1/result", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, "one,two")

	a.store.failAt = "r/0"
	status, _, _ = do(t, http.MethodGet, s.URL+"/v1/tasks/t1/result", nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	a.store.failAt = "r/1"
	_, _, err = do(t, http.MethodGet, s.URL+"/v1/tasks/t1/result", nil)
	assert.Assert(t, err != nil)
}
