package beryltask

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// crashTable and crashStore share a budget of calls and fail every call after it, as if the node had crashed.
type crashTable struct {
	*fakeTable
	budget *int
}

type crashStore struct {
	*fakeStore
	budget *int
}

func useCall(budget *int) error {
	*budget--
	if *budget < 0 {
		return &beryllatch.UnavailableError{Err: errors.New("crashed")}
	}
	return nil
}

func (c crashTable) Get(ctx context.Context, k beryllatch.RowKey) (beryllatch.Row, error) {
	if err := useCall(c.budget); err != nil {
		return beryllatch.Row{}, err
	}
	return c.fakeTable.Get(ctx, k)
}

func (c crashTable) Transact(ctx context.Context, writes ...beryllatch.RowWrite) error {
	if err := useCall(c.budget); err != nil {
		return err
	}
	return c.fakeTable.Transact(ctx, writes...)
}

func (c crashStore) Delete(ctx context.Context, name string) error {
	if err := useCall(c.budget); err != nil {
		return err
	}
	return c.fakeStore.Delete(ctx, name)
}

func (s *testExecutor) sweepAt(t *testing.T, now time.Time) berylreducer.ObjectsSwept {
	t.Helper()
	s.Execute(berylreducer.SweepObjects{Shard: berylreducer.ShardOf("a"), Epoch: 1, Now: now, Limit: 20})
	s.waitIdle()
	return s.events[len(s.events)-1].(berylreducer.ObjectsSwept)
}

// finishLarge runs task a, with a large payload and a result of three parts, up to its final row.
func (s *testExecutor) finishLarge(t *testing.T) beryllatch.Task {
	t.Helper()
	shard, now := berylreducer.ShardOf("a"), time.Now()
	assert.NilError(t, SchedulePayloadDeletion(t.Context(), s.table, now, "a", "payload/a"))
	s.store.objects["payload/a"] = []byte("p")
	task := beryllatch.Task{ID: "a", State: beryllatch.TaskQueued, PayloadObject: "payload/a"}
	s.Execute(berylreducer.SubmitTask{CallID: "c", Shard: shard, Task: task})
	s.waitIdle()
	s.runner.result = bytes.NewReader(make([]byte, 2*partSize+1))
	s.Execute(berylreducer.CollectResult{ID: "a", Fence: 3})
	s.waitIdle()
	collected := s.events[len(s.events)-1].(berylreducer.ResultCollected)
	task.State, task.Finished = beryllatch.TaskDone, now
	task.ResultObject, task.ResultParts = collected.Object, collected.Parts
	s.Execute(berylreducer.WriteTask{Shard: shard, Task: task, Expect: 1})
	s.waitIdle()
	assert.Assert(t, collected.Parts == 3 && len(s.store.objects) == 4)
	return task
}

// Guards against objects of a finished task that are never deleted, and against a result that is deleted before the row
// that names it. After a crash at any call, no row may name a deleted object, and a later sweep must delete the rest.
func TestObjectsOfFinishedTask(t *testing.T) {
	for crash := range 12 {
		withExecutor(t, func(t *testing.T, s *testExecutor) {
			task := s.finishLarge(t)
			done := finishedKey(berylreducer.ShardOf("a"), "a")
			assert.Equal(t, s.sweepAt(t, task.Finished.Add(time.Second)).Deleted, 1)
			assert.Assert(t, s.store.objects["payload/a"] == nil)
			s.sweepAt(t, task.Finished.Add(finishedRetention))
			assert.Assert(t, len(s.store.objects) == 3 && s.table.rows[done].Version > 0)

			budget := crash
			s.Executor.table, s.Executor.store = crashTable{s.table, &budget}, crashStore{s.store, &budget}
			expired := task.Finished.Add(finishedRetention + 2*expiryMargin)
			s.sweepAt(t, expired)
			assert.Assert(t, len(s.store.objects) == 3 || s.table.rows[done].Version == 0)
			budget = 1000
			s.sweepAt(t, expired)
			assert.Assert(t, len(s.store.objects) == 0 && len(s.table.rows) == 0, "%v", s.table.rows)
		})
	}
}

// Guards against a payload that is kept although its task was never stored, and against deleting the payload of a task
// that waits for an operator.
func TestAnnouncedObjects(t *testing.T) {
	withExecutor(t, func(t *testing.T, s *testExecutor) {
		shard, now := berylreducer.ShardOf("a"), time.Now()
		assert.NilError(t, SchedulePayloadDeletion(t.Context(), s.table, now, "a", "payload/a"))
		assert.NilError(t, SchedulePayloadDeletion(t.Context(), s.table, now, "a", "payload/a"))
		s.store.objects["payload/a"] = []byte("p")
		s.sweepAt(t, now.Add(unreferencedAge-time.Second))
		assert.Equal(t, len(s.store.objects), 1)
		s.sweepAt(t, now.Add(unreferencedAge+time.Second))
		assert.Assert(t, len(s.store.objects) == 0 && len(s.table.rows) == 0)

		task := beryllatch.Task{ID: "a", State: beryllatch.TaskParked, PayloadObject: "payload/a"}
		assert.NilError(t, SchedulePayloadDeletion(t.Context(), s.table, now, "a", "payload/a"))
		s.store.objects["payload/a"] = []byte("p")
		s.table.rows[unfinishedKey(shard, "a")] = encodeRowVersion1(unfinishedKey(shard, "a"), task)
		s.Execute(berylreducer.WriteTask{Shard: shard, Task: task, Expect: 1})
		s.waitIdle()
		s.sweepAt(t, now.Add(2*unreferencedAge))
		assert.Assert(t, len(s.store.objects) == 1 && len(s.table.rows) == 1)
		task.State, task.Finished = beryllatch.TaskFailed, now
		s.Execute(berylreducer.WriteDecision{CallID: "d", Shard: shard, Task: task, Expect: 1})
		s.waitIdle()
		s.sweepAt(t, now.Add(2*unreferencedAge))
		assert.Assert(t, len(s.store.objects) == 0 && len(s.table.rows) == 1)
	})
}

// Guards against parts of a result that are kept after the task was cancelled during its collection, also when the node
// crashes between the deletion of two parts, and against deleting them while the task may still finish.
func TestResultLeftBehind(t *testing.T) {
	for crash := range 6 {
		withExecutor(t, func(t *testing.T, s *testExecutor) {
			shard, now := berylreducer.ShardOf("a"), time.Now()
			running := beryllatch.Task{ID: "a", State: beryllatch.TaskRunning}
			s.table.rows[unfinishedKey(shard, "a")] = encodeRowVersion1(unfinishedKey(shard, "a"), running)
			s.runner.result = bytes.NewReader(make([]byte, 2*partSize+1))
			s.Execute(berylreducer.CollectResult{ID: "a", Fence: 3})
			s.waitIdle()
			s.sweepAt(t, now.Add(2*unreferencedAge))
			assert.Equal(t, len(s.store.objects), 3)
			running.State, running.Finished = beryllatch.TaskCancelled, now
			s.Execute(berylreducer.WriteTask{Shard: shard, Task: running, Expect: 1})
			s.waitIdle()
			budget := crash
			s.Executor.store = crashStore{s.store, &budget}
			first := s.sweepAt(t, now.Add(4*unreferencedAge)).Deleted
			budget = 1000
			assert.Equal(t, first+s.sweepAt(t, now.Add(4*unreferencedAge)).Deleted, 3)
			assert.Assert(t, len(s.store.objects) == 0 && len(s.table.rows) == 1)
		})
	}
}

func encodeRowVersion1(k beryllatch.RowKey, t beryllatch.Task) beryllatch.Row {
	row := encodeRow(k, t, 0)
	row.Version = 1
	return row
}
