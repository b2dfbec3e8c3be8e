package beryltask

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryloperator"
	"github.com/rotisserie/eris"
)

// Find reads a task, finished or not, from the table. If there is none, it returns a *beryloperator.TaskNotFoundError.
func Find(ctx context.Context, t beryllatch.Table, id string) (beryllatch.Task, error) {
	shard := berylreducer.ShardOf(id)
	// A task that finishes between the two reads is found by the second.
	for _, k := range []beryllatch.RowKey{unfinishedKey(shard, id), finishedKey(shard, id)} {
		row, err := t.Get(ctx, k)
		if err != nil {
			return beryllatch.Task{}, eris.Wrap(err, "read task")
		}
		if row.Version == 0 {
			continue
		}
		var task beryllatch.Task
		if err := json.Unmarshal(row.Value, &task); err != nil {
			return beryllatch.Task{}, eris.Wrap(err, "decode task")
		}
		return task, nil
	}
	return beryllatch.Task{}, &beryloperator.TaskNotFoundError{ID: id}
}

// listPage is the number of rows that ListWaiting reads with one query.
const listPage = 100

// ListWaiting returns up to limit tasks that wait for an operator, sorted by id and with ids greater than after. It
// returns only tasks in the given states, or all tasks if no state is given.
func ListWaiting(
	ctx context.Context, t beryllatch.Table, states []beryllatch.TaskState, after string, limit int,
) ([]beryllatch.Task, error) {
	var out []beryllatch.Task
	for {
		rows, err := t.Query(ctx, waitingPartition, after, listPage)
		if err != nil {
			return nil, eris.Wrap(err, "list tasks")
		}
		for _, row := range rows {
			var task beryllatch.Task
			if err := json.Unmarshal(row.Value, &task); err != nil {
				return nil, eris.Wrap(err, "decode task")
			}
			if len(states) > 0 && !slices.Contains(states, task.State) {
				continue
			}
			if out = append(out, task); len(out) == limit {
				return out, nil
			}
		}
		if len(rows) < listPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}
