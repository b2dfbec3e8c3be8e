package berylupstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// task is the state of one task. It is kept across reboots, so that no result is lost before it is collected.
type task struct {
	state beryllatch.TaskRunState
	// fence is the highest fence that a start or another call for the task has had.
	fence uint64
	// startedFences holds the fences of the attempts that have started on this worker.
	startedFences map[uint64]bool
	// start is the record of the newest attempt.
	start  *Start
	result []byte
	// end is when the work will be done at its current share.
	end         time.Time
	leaseExpiry time.Time
	// share is the throttle: the share of full speed at which the work runs.
	share float64
	// changed wakes runTask after a change of end, leaseExpiry or state.
	changed chan struct{}
}

// taskParams are the parameters that tests put into a task's payload: the run time in milliseconds and the size of the
// result. The defaults apply to any other payload.
type taskParams struct {
	RunMS       *uint32 `json:"test_run_ms"`
	AnswerBytes int     `json:"test_answer_bytes"`
}

func (t *task) report(bootID string) beryllatch.TaskReport {
	return beryllatch.TaskReport{State: t.state, BootID: bootID, Fence: t.fence}
}

// checkStart returns why an attempt with the fence must not start, or nil if it may. t is nil for a new task.
func (t *task) checkStart(fence uint64) *refusal {
	switch {
	case t == nil:
		return nil
	case t.startedFences[fence]:
		f := conflict("already_started", "this attempt has started before")
		f.hasStarted = true
		return f
	case t.state == beryllatch.TaskRunUnseen:
		return conflict("task_stopped", "the task was stopped before it was seen")
	case fence < t.fence:
		return conflict("older_fence", "a newer attempt is known")
	case t.state == beryllatch.TaskRunRunning:
		return conflict("already_running", "an older attempt is running")
	case t.state == beryllatch.TaskRunDone:
		return conflict("already_done", "the task has a result")
	}
	return nil
}

func (k *Worker) startTask(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if r.Header.Get(berylworker.HeaderExecutionID) != id {
		malformed(berylworker.HeaderExecutionID).write(w)
		return
	}
	fence, err := parseFence(r.Header)
	if err != nil {
		malformed(berylworker.HeaderFence).write(w)
		return
	}
	if k.answerRepeatedStart(w, id, fence) {
		return
	}
	req, body, ok := k.prepare(w, r, func(req startRequest) *refusal {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.tasks[id].checkStart(req.fence)
	})
	if !ok {
		return
	}
	if !k.launch(w, req, body) {
		return
	}
	if k.faultApplies(func(f *Faults) *Trigger { return &f.CutAfterStart }) {
		berylreply.CloseConnection(w)
		return
	}
	k.mu.Lock()
	report := k.tasks[id].report(k.bootID)
	k.mu.Unlock()
	// A report always encodes.
	b, _ := json.Marshal(report)
	k.sendAnswer(w, r, req, answer{
		id: id, status: http.StatusAccepted, header: http.Header{"Content-Type": {"application/json"}}, body: b,
	})
}

// answerRepeatedStart answers the start of an attempt that has started here before, and reports whether it was one. The
// answer must not have the run state "not run".
func (k *Worker) answerRepeatedStart(w http.ResponseWriter, id string, fence uint64) bool {
	k.mu.Lock()
	t := k.tasks[id]
	if t == nil || !t.startedFences[fence] {
		k.mu.Unlock()
		return false
	}
	report := t.report(k.bootID)
	k.mu.Unlock()
	if fence < report.Fence {
		problem(w, http.StatusConflict, "older_fence", "a newer attempt is known, and this one has run")
		return true
	}
	writeJSON(w, http.StatusOK, report)
	return true
}

// launch starts an admitted task and reports whether it could; if not, it has freed the slot and answered with the refusal.
func (k *Worker) launch(w http.ResponseWriter, req startRequest, body []byte) bool {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	var params taskParams
	if json.Unmarshal(body, &params) == nil {
		if params.RunMS != nil {
			req.runTime = time.Duration(*params.RunMS) * time.Millisecond
		}
		req.answerBytes = min(max(params.AnswerBytes, 0), maxAnswerBytes)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.tasks[req.id]
	// Another attempt may have started while the body was read.
	if fail := t.checkStart(req.fence); fail != nil {
		k.running--
		fail.write(w)
		return false
	}
	if t == nil {
		t = &task{startedFences: make(map[uint64]bool)}
		k.tasks[req.id] = t
	}
	t.state, t.fence, t.share, t.result = beryllatch.TaskRunRunning, req.fence, 1, nil
	t.startedFences[req.fence] = true
	t.end, t.leaseExpiry = time.Now().Add(req.runTime), req.leaseExpiry
	t.start = k.recordStartLocked(req, KindTask, digest)
	t.changed = make(chan struct{}, 1)
	go k.runTask(t, t.start, t.changed, output(digest, req.answerBytes))
	return true
}

// runTask waits until the attempt's run time is over, its lease expires or it is stopped, and records the outcome.
func (k *Worker) runTask(t *task, start *Start, changed <-chan struct{}, result []byte) {
	for {
		k.mu.Lock()
		now := time.Now()
		switch {
		case t.start != start || t.state != beryllatch.TaskRunRunning:
			k.recordOutcomeLocked(start, OutcomeStopped)
			k.mu.Unlock()
			return
		case !now.Before(t.leaseExpiry) && t.leaseExpiry.Before(t.end):
			t.state = beryllatch.TaskRunStopped
			k.recordOutcomeLocked(start, OutcomeStopped)
			k.mu.Unlock()
			return
		case !now.Before(t.end):
			t.state = beryllatch.TaskRunDone
			t.result = result
			outcome := OutcomeDone
			if k.faults.FailEverything {
				t.state, t.result, outcome = beryllatch.TaskRunFailed, nil, OutcomeFailed
			}
			k.recordOutcomeLocked(start, outcome)
			k.mu.Unlock()
			return
		}
		next := t.end
		if t.leaseExpiry.Before(next) {
			next = t.leaseExpiry
		}
		k.mu.Unlock()
		timer := time.NewTimer(time.Until(next))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// wake makes runTask check the task again after a change.
func (t *task) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (k *Worker) reportTask(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	report := beryllatch.TaskReport{State: beryllatch.TaskRunUnseen, BootID: k.bootID}
	if t := k.tasks[mux.Vars(r)["id"]]; t != nil {
		report = t.report(k.bootID)
	}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (k *Worker) taskResult(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	t := k.tasks[mux.Vars(r)["id"]]
	if t == nil || t.state != beryllatch.TaskRunDone {
		k.mu.Unlock()
		problem(w, http.StatusNotFound, "no_result", "the task has no result here")
		return
	}
	result := t.result
	k.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(result)
}
