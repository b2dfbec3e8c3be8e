package berylupstream

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// changeTask applies a change to a task and answers with the task's report. The call is refused if its fence is older than the
// task's. A task that the worker has not seen is reported as such.
func (k *Worker) changeTask(w http.ResponseWriter, r *http.Request, change func(*task) *refusal) {
	fence, err := parseFence(r.Header)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", "header "+berylworker.HeaderFence+" is malformed")
		return
	}
	k.mu.Lock()
	t := k.tasks[mux.Vars(r)["id"]]
	if t == nil {
		report := beryllatch.TaskReport{State: beryllatch.TaskRunUnseen, BootID: k.bootID}
		k.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
		return
	}
	if fence < t.fence {
		k.mu.Unlock()
		problem(w, http.StatusConflict, "older_fence", "a newer attempt is known")
		return
	}
	t.fence = fence
	fail := change(t)
	report := t.report(k.bootID)
	k.mu.Unlock()
	if fail != nil {
		problem(w, fail.status, fail.reason, fail.detail)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (k *Worker) renewTask(w http.ResponseWriter, r *http.Request) {
	leaseExpiry, err := time.Parse(time.RFC3339Nano, r.Header.Get(berylworker.HeaderLeaseExpiry))
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", "header "+berylworker.HeaderLeaseExpiry+" is malformed")
		return
	}
	k.changeTask(w, r, func(t *task) *refusal {
		if t.state == beryllatch.TaskRunRunning && leaseExpiry.After(t.leaseExpiry) {
			t.leaseExpiry = leaseExpiry
			t.wake()
		}
		return nil
	})
}

// stopTask stops a running task. A task that the worker has not seen is stored, so that a start that arrives later is
// refused.
func (k *Worker) stopTask(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	k.mu.Lock()
	if k.tasks[id] == nil {
		k.tasks[id] = &task{state: beryllatch.TaskRunUnseen}
	}
	k.mu.Unlock()
	k.changeTask(w, r, func(t *task) *refusal {
		if t.state == beryllatch.TaskRunRunning {
			t.state = beryllatch.TaskRunStopped
			t.wake()
		}
		return nil
	})
}

func (k *Worker) checkpointTask(w http.ResponseWriter, r *http.Request) {
	k.changeTask(w, r, func(t *task) *refusal {
		if t.state != beryllatch.TaskRunRunning {
			return notRunning()
		}
		t.start.Checkpoints++
		return nil
	})
}

func (k *Worker) throttleTask(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Share float64 `json:"share"`
	}
	if !decodeStrict(w, r, &body) {
		return
	}
	if body.Share <= 0 || body.Share > 1 {
		problem(w, http.StatusBadRequest, "bad_request", "share must be above 0 and at most 1")
		return
	}
	k.changeTask(w, r, func(t *task) *refusal {
		if t.state != beryllatch.TaskRunRunning {
			return notRunning()
		}
		remaining := time.Duration(float64(time.Until(t.end)) * t.share / body.Share)
		t.end, t.share = time.Now().Add(remaining), body.Share
		t.wake()
		return nil
	})
}

func notRunning() *refusal {
	return conflict("not_running", "the task is not running")
}
