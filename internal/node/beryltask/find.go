package beryltask

import (
	"context"
	"encoding/json"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryloperator"
	"github.com/rotisserie/eris"
)

// Find returns a task, finished or not, as its row holds it, or a *beryloperator.TaskNotFoundError.
func Find(ctx context.Context, t beryllatch.Table, id string) (beryllatch.Task, error) {
	shard := berylreducer.ShardOf(id)
	// A task that ends between the two reads is found by the second.
	for _, k := range []beryllatch.RowKey{openKey(shard, id), doneKey(shard, id)} {
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
