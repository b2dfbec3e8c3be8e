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
	// finishedRetention is how long the row of a finished task is kept; parked and unknown tasks wait for an operator.
	finishedRetention = 24 * time.Hour
	// claimRetention is how long an idempotency claim outlives the task's deadline.
	claimRetention = 24 * time.Hour
	shardPartition = "shard"
	// waitingPartition lists the tasks that wait for an operator.
	waitingPartition = "waiting"
	// writeOnceVersion is the version of payload, cancellation and waiting rows, which are written once.
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

// encodeRow returns a row with the JSON form of v, which consists of plain values and always has one.
func encodeRow(k beryllatch.RowKey, v any, expires int64) beryllatch.Row {
	b, _ := json.Marshal(v)
	return beryllatch.Row{Key: k, Value: b, Expires: expires}
}

// taskRows returns the writes that replace a task's row; a final state moves it and drops the payload.
func taskRows(shard int, t beryllatch.Task, expect uint64) []beryllatch.RowWrite {
	open := unfinishedKey(shard, t.ID)
	if !t.State.Final() {
		return []beryllatch.RowWrite{{Row: encodeRow(open, t, 0), Expect: expect}}
	}
	rows := []beryllatch.RowWrite{
		{Row: beryllatch.Row{Key: open}, Expect: expect, Delete: true},
		{Row: encodeRow(finishedKey(shard, t.ID), t, finishedExpiry(t)), Version: t.FirstVersion()},
	}
	if t.Listed {
		rows = append(rows, beryllatch.RowWrite{Row: encodeRow(waitingKey(t.ID), t, 0)})
	}
	return append(append(rows, payloadDeletion(shard, t)...), deletionRows(t)...)
}

// payloadDeletion returns the write that drops the payload of a task that never runs again.
func payloadDeletion(shard int, t beryllatch.Task) []beryllatch.RowWrite {
	if !t.PayloadRow || t.State.WaitsForOperator() {
		return nil
	}
	payload := beryllatch.Row{Key: payloadKey(shard, t.ID)}
	return []beryllatch.RowWrite{{Row: payload, Expect: writeOnceVersion, Delete: true}}
}

// decisionRows returns the writes of an operator's decision; a requeued task moves back to the unfinished ones.
func decisionRows(e berylreducer.WriteDecision) []beryllatch.RowWrite {
	done := beryllatch.RowWrite{Row: encodeRow(finishedKey(e.Shard, e.Task.ID), e.Task, finishedExpiry(e.Task)), Expect: e.Expect}
	rows := []beryllatch.RowWrite{done}
	if e.Task.State.Final() {
		rows = append(append(rows, payloadDeletion(e.Shard, e.Task)...), deletionRows(e.Task)...)
	} else {
		rows[0].Delete = true
		open := encodeRow(unfinishedKey(e.Shard, e.Task.ID), e.Task, 0)
		rows = append(rows, beryllatch.RowWrite{Row: open, Version: e.Task.FirstVersion()})
	}
	if e.Unlist {
		listed := beryllatch.Row{Key: waitingKey(e.Task.ID)}
		rows = append(rows, beryllatch.RowWrite{Row: listed, Expect: writeOnceVersion, Delete: true})
	}
	return rows
}

func finishedExpiry(t beryllatch.Task) int64 {
	if t.State.WaitsForOperator() {
		return 0
	}
	return t.Finished.Add(finishedRetention).Unix()
}

// submissionRows returns the writes that make a task durable together with its claim and its payload.
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

func shardRows(e berylreducer.WriteShard) []beryllatch.RowWrite {
	rows := []beryllatch.RowWrite{{Row: encodeRow(shardKey(e.Row.Shard), e.Row, 0), Expect: e.Expect}}
	for _, c := range e.Checks {
		rows = append(rows, c.RowWrite())
	}
	return rows
}

// cancelRows returns the writes of a cancellation; the owner finds that of a dispatched task by a row of its own.
func cancelRows(e berylreducer.WriteCancel) []beryllatch.RowWrite {
	rows := taskRows(e.Shard, e.Task, e.Expect)
	if e.Task.State.Final() {
		return rows
	}
	return append(rows, beryllatch.RowWrite{Row: beryllatch.Row{Key: cancelKey(e.Shard, e.Task.ID)}})
}

// taskWriteRows adds the condition that the shard still belongs to the writer.
func taskWriteRows(e berylreducer.WriteTask) []beryllatch.RowWrite {
	rows := taskRows(e.Shard, e.Task, e.Expect)
	if e.Task.State.Final() && e.Task.CancelRequested {
		cancelled := beryllatch.Row{Key: cancelKey(e.Shard, e.Task.ID)}
		rows = append(rows, beryllatch.RowWrite{Row: cancelled, Expect: writeOnceVersion, Delete: true})
	}
	if e.ShardExpect == 0 {
		return rows
	}
	check := beryllatch.Row{Key: shardKey(e.Shard)}
	return append(rows, beryllatch.RowWrite{Row: check, Expect: e.ShardExpect, CheckOnly: true})
}
