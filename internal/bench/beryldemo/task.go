package beryldemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/rotisserie/eris"
)

// pollInterval is the time between two polls of an unfinished task.
const pollInterval = 200 * time.Millisecond

// taskView is the part of the tasks API's answers that the demo reads.
type taskView struct {
	TaskID string `json:"task_id"`
	State  string `json:"state"`
}

// taskCaller returns the caller that submits and polls the tasks, which belong to the first team.
func (d *demo) taskCaller() berylprocess.Caller {
	return berylprocess.Caller{Address: d.fleet.Balancer, Secret: d.secrets[0]}
}

// submitTasks submits each task twice with the same idempotency key, through the nodes that the load balancer picks. It
// requires that both submissions return the same task.
func (d *demo) submitTasks(ctx context.Context) error {
	for n := range taskCount {
		key := fmt.Sprintf("task-%d", n)
		first, err := d.submit(ctx, key)
		if err != nil {
			return err
		}
		second, err := d.submit(ctx, key)
		if err != nil {
			return err
		}
		if first != second {
			return eris.Errorf("two tasks have the same idempotency key: %s and %s", first, second)
		}
		d.tasks = append(d.tasks, first)
	}
	d.printf("%d queued tasks accepted, each submitted twice", len(d.tasks))
	return nil
}

// submit submits one task and returns its id.
func (d *demo) submit(ctx context.Context, key string) (string, error) {
	r := d.taskCaller().Do(
		ctx, http.MethodPost, "/v1/queues/"+d.u.TaskQueue+"/tasks", `{"test_run_ms":300}`, "Idempotency-Key", key,
	)
	if r.Err != nil || r.Status != http.StatusAccepted {
		return "", eris.Errorf("task not accepted: status %d, %s %v", r.Status, r.Body, r.Err)
	}
	var v taskView
	return v.TaskID, eris.Wrap(json.Unmarshal(r.Body, &v), "decode task")
}

// awaitTasks polls the tasks until each has a final state, and returns the states by id.
func (d *demo) awaitTasks(ctx context.Context) (map[string]string, error) {
	out := map[string]string{}
	for _, id := range d.tasks {
		for out[id] == "" {
			if err := ctx.Err(); err != nil {
				return nil, eris.Wrapf(err, "task %s has no final state", id)
			}
			out[id] = d.finalState(ctx, id)
			if out[id] == "" {
				time.Sleep(pollInterval)
			}
		}
	}
	return out, nil
}

// finalState returns the state of the task if it is final, and the empty string if it is not or cannot be read.
func (d *demo) finalState(ctx context.Context, id string) string {
	r := d.taskCaller().Do(ctx, http.MethodGet, "/v1/tasks/"+id, "")
	var v taskView
	if r.Err != nil || json.Unmarshal(r.Body, &v) != nil {
		return ""
	}
	switch v.State {
	case "done", "failed", "cancelled", "parked", "unknown":
		return v.State
	default:
		return ""
	}
}
