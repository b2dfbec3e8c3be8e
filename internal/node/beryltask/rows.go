package beryltask

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

const (
	// finishedRetention is how long the row of a finished task is kept. Parked and unknown tasks do not expire, since
	// they wait for an operator.
	finishedRetention = 24 * time.Hour
	// claimRetention is how long an idempotency claim is kept after the task's deadline.
	claimRetention = 24 * time.Hour
	shardPartition = "shard"
	// waitingPartition holds a row for each task that waits for an operator.
	waitingPartition = "waiting"
	// writeOnceVersion is the version of payload, cancellation and waiting rows, which are never replaced.
	writeOnceVersion = 1
)

func shardKey(shard int) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: shardPartition, Sort: fmt.Sprintf("%02d", shard)}
}

func taskPartition(shard int) string { return "task#" + strconv.Itoa(shard) }

func unfinishedKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: taskPartition(shard), Sort: id}
}

func finishedKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "done#" + strconv.Itoa(shard), Sort: id}
}

func payloadKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "payload#" + strconv.Itoa(shard), Sort: id}
}

func cancelPartition(shard int) string { return "cancel#" + strconv.Itoa(shard) }

func cancelKey(shard int, id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: cancelPartition(shard), Sort: id}
}

func waitingKey(id string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: waitingPartition, Sort: id}
}

func claimKey(team, key string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "claim#" + team, Sort: key}
}

// encodeRow returns a row with v encoded as JSON. It ignores the error: v consists of plain values, which always
// encode.
func encodeRow(k beryllatch.RowKey, v any, expires int64) beryllatch.Row {
	b, _ := json.Marshal(v)
	return beryllatch.Row{Key: k, Value: b, Expires: expires}
}

// taskRows returns the writes that replace the row of an unfinished task. For a final state they move the row to the
// finished tasks, delete the payload and list the objects that are no longer needed for deletion.
func taskRows(shard int, t beryllatch.Task, expect uint64) []beryllatch.RowWrite {
	key := unfinishedKey(shard, t.ID)
	if !t.State.Final() {
		return []beryllatch.RowWrite{{Row: encodeRow(key, t, 0), Expect: expect}}
	}
	rows := []beryllatch.RowWrite{
		{Row: beryllatch.Row{Key: key}, Expect: expect, Delete: true},
		{Row: encodeRow(finishedKey(shard, t.ID), t, finishedExpiry(t)), Version: t.FirstVersion()},
	}
	if t.Listed {
		rows = append(rows, beryllatch.RowWrite{Row: encodeRow(waitingKey(t.ID), t, 0)})
	}
	return append(append(rows, payloadDeletion(shard, t)...), deletionRows(t)...)
}

// payloadDeletion returns the write that deletes the payload row of a finished task. It returns nothing if there is no
// such row, or if the task waits for an operator, who may queue it again.
func payloadDeletion(shard int, t beryllatch.Task) []beryllatch.RowWrite {
	if !t.PayloadRow || t.State.WaitsForOperator() {
		return nil
	}
	row := beryllatch.Row{Key: payloadKey(shard, t.ID)}
	return []beryllatch.RowWrite{{Row: row, Expect: writeOnceVersion, Delete: true}}
}

// decisionRows returns the writes that store an operator's decision about a finished task. A requeued task moves back
// to the unfinished ones.
func decisionRows(e berylreducer.WriteDecision) []beryllatch.RowWrite {
	finished := beryllatch.RowWrite{Row: encodeRow(finishedKey(e.Shard, e.Task.ID), e.Task, finishedExpiry(e.Task)), Expect: e.Expect}
	rows := []beryllatch.RowWrite{finished}
	if e.Task.State.Final() {
		rows = append(append(rows, payloadDeletion(e.Shard, e.Task)...), deletionRows(e.Task)...)
	} else {
		rows[0].Delete = true
		unfinished := encodeRow(unfinishedKey(e.Shard, e.Task.ID), e.Task, 0)
		rows = append(rows, beryllatch.RowWrite{Row: unfinished, Version: e.Task.FirstVersion()})
	}
	if e.Unlist {
		waiting := beryllatch.Row{Key: waitingKey(e.Task.ID)}
		rows = append(rows, beryllatch.RowWrite{Row: waiting, Expect: writeOnceVersion, Delete: true})
	}
	return rows
}

// finishedExpiry returns the Unix time at which the row of a finished task expires, or 0 if it waits for an operator.
func finishedExpiry(t beryllatch.Task) int64 {
	if t.State.WaitsForOperator() {
		return 0
	}
	return t.Finished.Add(finishedRetention).Unix()
}

// submissionRows returns the writes that store a submitted task together with its payload and its idempotency claim.
func submissionRows(e berylreducer.SubmitTask) []beryllatch.RowWrite {
	rows := []beryllatch.RowWrite{{Row: encodeRow(unfinishedKey(e.Shard, e.Task.ID), e.Task, 0)}}
	if e.Task.PayloadRow {
		rows = append(rows, beryllatch.RowWrite{
			Row: beryllatch.Row{Key: payloadKey(e.Shard, e.Task.ID), Value: e.Payload},
		})
	}
	if e.Claim.Key != "" {
		expires := e.Task.Deadline.Add(claimRetention).Unix()
		rows = append(rows, beryllatch.RowWrite{Row: encodeRow(claimKey(e.Task.Team, e.Claim.Key), e.Claim, expires)})
	}
	return rows
}

// shardRows returns the writes that replace a shard row, with the effect's checks of node rows.
func shardRows(e berylreducer.WriteShard) []beryllatch.RowWrite {
	rows := []beryllatch.RowWrite{{Row: encodeRow(shardKey(e.Row.Shard), e.Row, 0), Expect: e.Expect}}
	for _, c := range e.Checks {
		rows = append(rows, c.RowWrite())
	}
	return rows
}

// cancelRows returns the writes that store a cancellation. A dispatched task becomes final only when its worker has
// stopped it, so a row among the shard's cancellations requests that from the owner of the shard.
func cancelRows(e berylreducer.WriteCancel) []beryllatch.RowWrite {
	rows := taskRows(e.Shard, e.Task, e.Expect)
	if e.Task.State.Final() {
		return rows
	}
	return append(rows, beryllatch.RowWrite{Row: beryllatch.Row{Key: cancelKey(e.Shard, e.Task.ID)}})
}

// taskWriteRows returns the writes by which the owner of a shard replaces a task's row. They also delete the
// cancellation of a task that is now final, and check that the shard row has not changed, so that a former owner cannot
// write.
func taskWriteRows(e berylreducer.WriteTask) []beryllatch.RowWrite {
	rows := taskRows(e.Shard, e.Task, e.Expect)
	if e.Task.State.Final() && e.Task.CancelRequested {
		cancellation := beryllatch.Row{Key: cancelKey(e.Shard, e.Task.ID)}
		rows = append(rows, beryllatch.RowWrite{Row: cancellation, Expect: writeOnceVersion, Delete: true})
	}
	if e.ShardExpect == 0 {
		return rows
	}
	shardRow := beryllatch.Row{Key: shardKey(e.Shard)}
	return append(rows, beryllatch.RowWrite{Row: shardRow, Expect: e.ShardExpect, CheckOnly: true})
}
