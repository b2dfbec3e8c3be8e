package beryltask

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylobject"
	"gotest.tools/v3/assert"
)

// fakeTable is a table in memory. Every transaction takes delay and records its number of writes in
// transactionSizes; if err is set, every call returns it.
type fakeTable struct {
	mu               sync.Mutex
	rows             map[beryllatch.RowKey]beryllatch.Row
	transactionSizes []int
	delay            time.Duration
	err              error
}

func (f *fakeTable) Get(_ context.Context, k beryllatch.RowKey) (beryllatch.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[k], f.err
}

func (f *fakeTable) Query(_ context.Context, partition, after string, limit int) ([]beryllatch.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []beryllatch.Row
	for k, row := range f.rows {
		if k.Partition == partition && k.Sort > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b beryllatch.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return out[:min(len(out), limit)], f.err
}

func (f *fakeTable) Transact(ctx context.Context, writes ...beryllatch.RowWrite) error {
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return &beryllatch.UnknownOutcomeError{Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transactionSizes = append(f.transactionSizes, len(writes))
	if f.err != nil {
		return f.err
	}
	for _, w := range writes {
		if f.rows[w.Row.Key].Version != w.Expect {
			return &beryllatch.ConditionFailedError{Key: w.Row.Key}
		}
	}
	for _, w := range writes {
		switch {
		case w.CheckOnly:
		case w.Delete:
			delete(f.rows, w.Row.Key)
		default:
			f.rows[w.Row.Key] = w.Stored()
		}
	}
	return nil
}

// fakeStore is an object store in memory; if err is set, every call returns it.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	err     error
}

func (f *fakeStore) Put(_ context.Context, name string, r io.Reader, size int64) error {
	b, err := io.ReadAll(r)
	if err != nil || int64(len(b)) != size {
		return errors.New("wrong size")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = b
	return f.err
}

func (f *fakeStore) Get(_ context.Context, name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.objects[name]
	if !ok && f.err == nil {
		return nil, &berylobject.NotFoundError{Name: name}
	}
	return io.NopCloser(bytes.NewReader(b)), f.err
}

func (f *fakeStore) Delete(_ context.Context, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		delete(f.objects, name)
	}
	return f.err
}

// fakeRunner is a worker that has one result and records the payload of the last start; if err is set, its calls return
// it.
type fakeRunner struct {
	beryllatch.TaskRunner
	result io.Reader
	body   []byte
	err    error
}

func (f *fakeRunner) StartTask(_ context.Context, _ beryllatch.Execution, body io.Reader) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	f.body = b
	return f.err
}

func (f *fakeRunner) RenewTask(context.Context, beryllatch.Execution) (beryllatch.TaskReport, error) {
	return beryllatch.TaskReport{State: beryllatch.TaskRunRunning}, f.err
}

func (f *fakeRunner) TaskResult(context.Context, string, string) (io.ReadCloser, error) {
	return io.NopCloser(f.result), f.err
}

// testExecutor is an executor that calls fakes; events holds what it has posted.
type testExecutor struct {
	*Executor
	table  *fakeTable
	store  *fakeStore
	runner *fakeRunner
	mu     sync.Mutex
	events []berylreducer.Event
}

func newTestExecutor(ctx context.Context) *testExecutor {
	s := &testExecutor{
		table:  &fakeTable{rows: map[beryllatch.RowKey]beryllatch.Row{}, delay: time.Millisecond},
		store:  &fakeStore{objects: map[string][]byte{}},
		runner: &fakeRunner{},
	}
	now := func() berylreducer.Instant { return berylreducer.Instant{Wall: time.Now()} }
	s.Executor = New(ctx, s.table, s.store, s.runner, now, func(e berylreducer.Event) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.events = append(s.events, e)
	})
	return s
}

// withExecutor runs the test with an executor and a virtual clock, and stops the executor afterwards.
func withExecutor(t *testing.T, f func(t *testing.T, s *testExecutor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newTestExecutor(t.Context())
		f(t, s)
		// Guards against a stop of the node that waits forever for idle goroutines.
		s.Wait()
	})
}

// waitIdle waits until the calls that are in progress have returned.
func (s *testExecutor) waitIdle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func queuedTaskWrite(id string, expect uint64) berylreducer.WriteTask {
	return berylreducer.WriteTask{
		Shard: 1, Epoch: 1, Task: beryllatch.Task{ID: id, State: beryllatch.TaskQueued}, Expect: expect,
	}
}

// Guards against a transaction for each write, and against transactions of more than 25 rows.
func TestWritesAreGrouped(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		for n := range 60 {
			s.Execute(queuedTaskWrite(fmt.Sprintf("t%02d", n), 0))
		}
		s.waitIdle()
		assert.Equal(t, len(s.events), 60)
		assert.DeepEqual(t, s.table.transactionSizes, []int{25, 25, 10})
	})
}

// Guards against a conflict that fails the other writes of its transaction.
func TestConflictFailsAlone(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		s.Execute(queuedTaskWrite("a", 0))
		s.Execute(queuedTaskWrite("b", 7))
		s.Execute(queuedTaskWrite("c", 0))
		s.waitIdle()
		results := map[string]berylreducer.WriteResult{}
		for _, e := range s.events {
			w := e.(berylreducer.TaskWritten)
			results[w.ID] = w.Result
		}
		assert.DeepEqual(t, results, map[string]berylreducer.WriteResult{
			"a": berylreducer.WriteDone, "b": berylreducer.WriteConflict, "c": berylreducer.WriteDone,
		})
	})
}

// Guards against a wrong result of a write that fails: it must be unknown unless the error shows that nothing was
// written.
func TestWriteResults(t *testing.T) {
	for _, c := range []struct {
		err   error
		delay time.Duration
		want  berylreducer.WriteResult
	}{
		{nil, 0, berylreducer.WriteDone},
		{nil, time.Minute, berylreducer.WriteUnknown},
		{&beryllatch.UnavailableError{Err: io.EOF}, 0, berylreducer.WriteFailed},
		{&beryllatch.UnknownOutcomeError{Err: io.EOF}, 0, berylreducer.WriteUnknown},
		{io.EOF, 0, berylreducer.WriteUnknown},
	} {
		withExecutor(t, func(t *testing.T, s *testExecutor) {
			s.table.err, s.table.delay = c.err, c.delay
			s.Execute(queuedTaskWrite("a", 0))
			time.Sleep(5 * time.Second)
			s.waitIdle()
			assert.DeepEqual(t, s.events, []berylreducer.Event{
				berylreducer.TaskWritten{ID: "a", Epoch: 1, Result: c.want},
			})
		})
	}
}

// Guards against a submission that is stored without its claim or payload, and against a finished task whose row stays
// among the unfinished ones.
func TestTaskRowsMove(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		task := beryllatch.Task{ID: "a", Team: "red", Queue: "q", State: beryllatch.TaskQueued, PayloadRow: true}
		claim := berylreducer.TaskClaim{State: "task", TaskID: "a", Queue: "q", Key: "k"}
		s.Execute(berylreducer.SubmitTask{CallID: "c", Shard: 1, Task: task, Payload: []byte("body"), Claim: claim})
		s.waitIdle()
		assert.Equal(t, len(s.table.rows), 3)
		s.Execute(berylreducer.StartTask{ID: "a", Shard: 1, PayloadRow: true})
		s.waitIdle()
		assert.Equal(t, string(s.runner.body), "body")
		task.State = beryllatch.TaskDone
		s.Execute(berylreducer.WriteTask{Shard: 1, Task: task, Expect: 1})
		s.waitIdle()
		assert.Equal(t, s.table.rows[unfinishedKey(1, "a")].Version, uint64(0))
		assert.Equal(t, s.table.rows[payloadKey(1, "a")].Version, uint64(0))
		s.Execute(berylreducer.LookUpTask{CallID: "d", Shard: 1, TaskID: "a"})
		s.Execute(berylreducer.ReadSubmission{CallID: "e", Shard: 1, TaskID: "a", Team: "red", ClaimKey: "k"})
		s.waitIdle()
		found := s.events[len(s.events)-2:]
		slices.SortFunc(found, func(a, b berylreducer.Event) int {
			return strings.Compare(fmt.Sprintf("%T", a), fmt.Sprintf("%T", b))
		})
		assert.Equal(t, found[0].(berylreducer.SubmissionRead).Claim.TaskID, "a")
		assert.Equal(t, found[1].(berylreducer.TaskLookedUp).Task.State, beryllatch.TaskDone)
	})
}

// Guards against idempotent tasks that cannot start while the table is unavailable, since their payloads are not
// cached, and against a cache that grows beyond its limit.
func TestPayloadsAreKeptForAnOutage(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		for n := range 100 {
			task := beryllatch.Task{
				ID: fmt.Sprintf("t%02d", n), State: beryllatch.TaskQueued, PayloadRow: true, Idempotent: true,
			}
			s.table.rows[unfinishedKey(1, task.ID)] = encodeRow(unfinishedKey(1, task.ID), task, 0)
			s.table.rows[payloadKey(1, task.ID)] = beryllatch.Row{Version: 1, Value: make([]byte, MaxInline)}
		}
		s.Execute(berylreducer.LoadTasks{Shard: 1, Limit: 100})
		s.waitIdle()
		assert.Assert(t, s.payloads.bytes > cacheBytes/2 && s.payloads.bytes <= cacheBytes)
		s.table.err = &beryllatch.UnavailableError{Err: io.EOF}
		// Payloads are read concurrently, so which of them fit into the cache differs from run to run.
		kept := beryllatch.SortedKeys(s.payloads.byTask)[0]
		s.Execute(berylreducer.StartTask{ID: kept, Shard: 1, PayloadRow: true})
		s.waitIdle()
		assert.Equal(t, len(s.runner.body), MaxInline)
	})
}

// Guards against a cancellation that the owner of the shard does not find, or still finds after the task is final.
func TestCancellationRows(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		task := beryllatch.Task{ID: "a", State: beryllatch.TaskRunning, CancelRequested: true}
		s.table.rows[unfinishedKey(1, "a")] = beryllatch.Row{Key: unfinishedKey(1, "a"), Version: 2}
		s.Execute(berylreducer.WriteCancel{CallID: "c", Shard: 1, Task: task, Expect: 2})
		s.waitIdle()
		s.Execute(berylreducer.PollShard{Shard: 1, Epoch: 4, Limit: 100})
		s.waitIdle()
		polled := s.events[1].(berylreducer.ShardPolled)
		assert.DeepEqual(t, polled.Cancelled, []string{"a"})
		assert.Equal(t, polled.Tasks[0].Version, uint64(3))
		task.State = beryllatch.TaskCancelled
		s.Execute(berylreducer.WriteTask{Shard: 1, Task: task, Expect: 3})
		s.waitIdle()
		assert.Equal(t, s.events[2].(berylreducer.TaskWritten).Result, berylreducer.WriteDone)
		assert.Equal(t, len(s.table.rows), 1)
	})
}

// Guards against a waiting task that is missing in the operators' list, against a requeued task without its payload,
// and against rows that an operator's decision should have deleted.
func TestDecisionRows(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		task := beryllatch.Task{ID: "a", State: beryllatch.TaskUnknown, PayloadRow: true, Listed: true}
		s.table.rows[unfinishedKey(1, "a")] = beryllatch.Row{Key: unfinishedKey(1, "a"), Version: 3}
		s.table.rows[payloadKey(1, "a")] = beryllatch.Row{Key: payloadKey(1, "a"), Version: 1}
		s.Execute(berylreducer.WriteTask{Shard: 1, Task: task, Expect: 3})
		s.waitIdle()
		for state, want := range map[beryllatch.TaskState]int{beryllatch.TaskUnknown: 1, beryllatch.TaskParked: 0} {
			found, err := ListWaiting(t.Context(), s.table, []beryllatch.TaskState{state}, "", 10)
			assert.Assert(t, err == nil && len(found) == want)
		}
		queued := task
		queued.State, queued.Listed = beryllatch.TaskQueued, false
		queued.Decisions = []beryllatch.TaskDecision{{OperationID: "op1", As: beryllatch.VerdictRequeue}}
		s.Execute(berylreducer.WriteDecision{CallID: "c", Shard: 1, Task: queued, Expect: 1, Unlist: true})
		s.waitIdle()
		assert.Assert(t, len(s.table.rows) == 2 && s.table.rows[payloadKey(1, "a")].Version == 1)
		version := s.table.rows[unfinishedKey(1, "a")].Version
		assert.Assert(t, version > 3)
		task.Decisions = queued.Decisions
		s.Execute(berylreducer.WriteTask{Shard: 1, Task: task, Expect: version})
		s.waitIdle()
		// A delayed write of the first decision must fail, although the finished task has a row again.
		s.Execute(berylreducer.WriteDecision{CallID: "d", Shard: 1, Task: queued, Expect: 1, Unlist: true})
		s.waitIdle()
		last := s.events[len(s.events)-1].(berylreducer.DecisionWritten)
		assert.Assert(t, last.CallID == "d" && last.Result == berylreducer.WriteConflict)
		task.State, task.Listed = beryllatch.TaskFailed, false
		s.Execute(berylreducer.WriteDecision{
			CallID: "e", Shard: 1, Task: task, Expect: s.table.rows[finishedKey(1, "a")].Version, Unlist: true,
		})
		s.waitIdle()
		assert.Assert(t, len(s.table.rows) == 1 && s.table.rows[finishedKey(1, "a")].Expires != 0)
	})
}

// Guards against a truncated result that is taken for complete, and against large results that are stored in the table.
func TestCollectResult(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 300_000)
	truncated := io.MultiReader(bytes.NewReader(large), &truncatedReader{})
	for _, c := range []struct {
		name   string
		result io.Reader
		store  error
		want   berylreducer.ResultCollected
	}{
		{"small", strings.NewReader("r"), nil, berylreducer.ResultCollected{Result: []byte("r")}},
		{"large", bytes.NewReader(large), nil, berylreducer.ResultCollected{Object: "result/a.3", Parts: 3}},
		{"cut", truncated, nil, berylreducer.ResultCollected{Object: "result/a.3", WorkerFailed: true}},
		{"no store", bytes.NewReader(large), io.EOF, berylreducer.ResultCollected{Object: "result/a.3", StoreFailed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withExecutor(t, func(t *testing.T, s *testExecutor) {
				s.runner.result, s.store.err = c.result, c.store
				s.Execute(berylreducer.CollectResult{ID: "a", Fence: 3})
				s.waitIdle()
				c.want.ID, c.want.Fence = "a", 3
				assert.DeepEqual(t, s.events, []berylreducer.Event{c.want})
				if c.want.Parts > 0 {
					var out bytes.Buffer
					done := beryllatch.Task{ResultObject: c.want.Object, ResultParts: c.want.Parts}
					assert.NilError(t, CopyResult(t.Context(), s.store, done, &out))
					assert.Assert(t, bytes.Equal(out.Bytes(), large))
				}
			})
		})
	}
}

// truncatedReader fails like the body of an answer whose connection was closed early.
type truncatedReader struct{}

func (*truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a worker's refusal that is reported as a failed call, and against a task that is started without its
// payload.
func TestWorkerOutcomes(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		s.runner.err = &beryllatch.ExecutionError{Outcome: beryllatch.OutcomeRefused, Err: io.EOF}
		s.Execute(berylreducer.RenewTask{Execution: beryllatch.Execution{ID: "a"}})
		s.waitIdle()
		s.runner.err = &beryllatch.ExecutionError{Outcome: beryllatch.OutcomeUnknown, Err: io.EOF}
		s.Execute(berylreducer.RenewTask{Execution: beryllatch.Execution{ID: "a"}})
		s.waitIdle()
		s.table.err = &beryllatch.UnavailableError{Err: io.EOF}
		s.Execute(berylreducer.StartTask{ID: "a", PayloadRow: true})
		s.waitIdle()
		assert.DeepEqual(t, s.events, []berylreducer.Event{
			berylreducer.TaskReported{ID: "a", Refused: true},
			berylreducer.TaskReported{ID: "a", Failed: true},
			berylreducer.TaskStarted{
				ID: "a", Outcome: beryllatch.OutcomeNotSent, Reason: beryllatch.ReasonPlatformUnavailable,
			},
		})
		assert.Assert(t, !s.Execute(berylreducer.SetReady{}))
	})
}
