package beryltask

import (
	"context"
	"encoding/json"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
)

// shardPage is the limit of the query for shard rows; it is larger than the number of shards, so that one query reads
// all.
const shardPage = 100

func (x *Executor) submitTask(e berylreducer.SubmitTask) {
	x.write(submissionRows(e), func(r berylreducer.WriteResult) berylreducer.Event {
		if r == berylreducer.WriteDone && e.Task.Idempotent && e.Task.PayloadRow {
			x.payloads.put(e.Task.ID, e.Payload)
		}
		return berylreducer.SubmissionWritten{CallID: e.CallID, Result: r}
	})
}

func (x *Executor) writeCancel(e berylreducer.WriteCancel) {
	x.write(cancelRows(e), func(r berylreducer.WriteResult) berylreducer.Event {
		return berylreducer.CancelWritten{CallID: e.CallID, Result: r}
	})
}

func (x *Executor) writeDecision(e berylreducer.WriteDecision) {
	x.write(decisionRows(e), func(r berylreducer.WriteResult) berylreducer.Event {
		return berylreducer.DecisionWritten{CallID: e.CallID, Result: r}
	})
}

func (x *Executor) writeTask(e berylreducer.WriteTask) {
	if e.Task.State.Final() {
		x.payloads.drop(e.Task.ID)
	}
	x.write(taskWriteRows(e), func(r berylreducer.WriteResult) berylreducer.Event {
		return berylreducer.TaskWritten{ID: e.Task.ID, Epoch: e.Epoch, Result: r}
	})
}

func (x *Executor) writeShard(e berylreducer.WriteShard) {
	x.write(shardRows(e), func(r berylreducer.WriteResult) berylreducer.Event {
		return berylreducer.ShardWritten{Row: e.Row, Version: e.Expect + 1, Result: r}
	})
}

// write queues the rows of one transaction and posts the event for its result. If the queue is full, nothing is written
// and the result is WriteFailed.
func (x *Executor) write(rows []beryllatch.RowWrite, event func(berylreducer.WriteResult) berylreducer.Event) {
	w := berylgroup.Write{Rows: rows, Done: func(r berylreducer.WriteResult) { x.post(event(r)) }}
	if !x.writes.Add(w) {
		x.postLater(event(berylreducer.WriteFailed))
	}
}

// readSubmission reads back what a submission of unknown outcome has stored: its claim, if it has a key, and its task.
func (x *Executor) readSubmission(ctx context.Context, e berylreducer.ReadSubmission) berylreducer.Event {
	out := berylreducer.SubmissionRead{CallID: e.CallID}
	if e.ClaimKey != "" {
		row, err := x.table.Get(ctx, claimKey(e.Team, e.ClaimKey))
		if err != nil {
			out.Failed = true
			return out
		}
		out.Claimed = row.Version > 0
		out.Claim = claimOf(row)
	}
	_, found, err := x.findStored(ctx, e.Shard, e.TaskID)
	out.Found, out.Failed = found, err != nil
	return out
}

// claimOf decodes the claim of a task; it returns an empty claim if the row is a request's claim or cannot be decoded.
func claimOf(row beryllatch.Row) berylreducer.TaskClaim {
	var claim berylreducer.TaskClaim
	if err := json.Unmarshal(row.Value, &claim); err != nil || claim.TaskID == "" {
		return berylreducer.TaskClaim{}
	}
	return claim
}

func (x *Executor) lookUpTask(ctx context.Context, e berylreducer.LookUpTask) berylreducer.Event {
	t, found, err := x.findStored(ctx, e.Shard, e.TaskID)
	return berylreducer.TaskLookedUp{CallID: e.CallID, Failed: err != nil, Found: found, Task: t}
}

// findStored reads a task, whether finished or not. It reads the partition of unfinished tasks first: a task that
// finishes between the two reads is then found by the second.
func (x *Executor) findStored(ctx context.Context, shard int, id string) (berylreducer.StoredTask, bool, error) {
	t, found, err := x.readStored(ctx, unfinishedKey(shard, id))
	if found || err != nil {
		return t, found, err
	}
	return x.readStored(ctx, finishedKey(shard, id))
}

func (x *Executor) readStored(ctx context.Context, k beryllatch.RowKey) (berylreducer.StoredTask, bool, error) {
	row, err := x.table.Get(ctx, k)
	if err != nil || row.Version == 0 {
		return berylreducer.StoredTask{}, false, err
	}
	t, err := decodeTask(row)
	return t, err == nil, err
}

func decodeTask(row beryllatch.Row) (berylreducer.StoredTask, error) {
	t := berylreducer.StoredTask{Version: row.Version}
	err := json.Unmarshal(row.Value, &t.Task)
	return t, err
}

func (x *Executor) readShards(ctx context.Context) berylreducer.Event {
	sent := x.now()
	rows, err := x.table.Query(ctx, shardPartition, "", shardPage)
	out := berylreducer.ShardsRead{SentAt: sent, Failed: err != nil}
	for _, row := range rows {
		s := berylreducer.StoredShard{Version: row.Version}
		if err := json.Unmarshal(row.Value, &s.ShardRow); err != nil {
			return berylreducer.ShardsRead{Failed: true}
		}
		out.Shards = append(out.Shards, s)
	}
	return out
}

func loadFailed(e berylreducer.LoadTasks) berylreducer.TasksLoaded {
	return berylreducer.TasksLoaded{Shard: e.Shard, Epoch: e.Epoch, After: e.After, Failed: true}
}

func (x *Executor) loadTasks(ctx context.Context, e berylreducer.LoadTasks) berylreducer.Event {
	rows, err := x.table.Query(ctx, taskPartition(e.Shard), e.After, e.Limit)
	if err != nil {
		return loadFailed(e)
	}
	out := berylreducer.TasksLoaded{Shard: e.Shard, Epoch: e.Epoch, After: e.After}
	for _, row := range rows {
		t, err := decodeTask(row)
		if err != nil {
			return loadFailed(e)
		}
		out.Tasks = append(out.Tasks, t)
	}
	x.prefetch(e.Shard, out.Tasks)
	return out
}

// pollShard reads the newest tasks of a shard and, unless the effect skips them, its pending cancellations.
func (x *Executor) pollShard(ctx context.Context, e berylreducer.PollShard) berylreducer.Event {
	load := berylreducer.LoadTasks{Shard: e.Shard, Epoch: e.Epoch, After: e.After, Limit: e.Limit}
	newest, _ := x.loadTasks(ctx, load).(berylreducer.TasksLoaded)
	if e.SkipCancels {
		return berylreducer.ShardPolled{Shard: e.Shard, Epoch: e.Epoch, Tasks: newest.Tasks, Failed: newest.Failed}
	}
	rows, err := x.table.Query(ctx, cancelPartition(e.Shard), "", e.Limit)
	out := berylreducer.ShardPolled{
		Shard: e.Shard, Epoch: e.Epoch, Tasks: newest.Tasks, Failed: newest.Failed || err != nil,
	}
	for _, row := range rows {
		out.Cancelled = append(out.Cancelled, row.Key.Sort)
	}
	return out
}

// prefetch reads the payloads of idempotent queued tasks into the cache, so that the tasks can start while the table is
// unavailable.
func (x *Executor) prefetch(shard int, tasks []berylreducer.StoredTask) {
	for _, t := range tasks {
		if !t.Idempotent || !t.PayloadRow || t.State != beryllatch.TaskQueued || x.payloads.touch(t.ID) {
			continue
		}
		if x.payloads.full() {
			return
		}
		x.reads.add(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, tableTimeout)
			defer cancel()
			if row, err := x.table.Get(ctx, payloadKey(shard, t.ID)); err == nil && row.Version > 0 {
				x.payloads.put(t.ID, row.Value)
			}
		})
	}
}

func (x *Executor) readTask(ctx context.Context, e berylreducer.ReadTask) berylreducer.Event {
	t, found, err := x.readStored(ctx, unfinishedKey(e.Shard, e.ID))
	return berylreducer.TaskRowRead{ID: e.ID, Epoch: e.Epoch, Failed: err != nil, Found: found, Task: t}
}
