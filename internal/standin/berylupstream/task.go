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

// task is what the worker knows about one task; it outlives reboots, so that no result is lost before it is collected.
type task struct {
	state beryllatch.TaskRunState
	fence uint64
	// ran holds the fences of the attempts that have started here.
	ran    map[uint64]bool
	start  *Start
	result []byte
	ends   time.Time
	lease  time.Time
	share  float64
	// changed wakes the attempt after a change of ends, lease or state.
	changed chan struct{}
}

// work is what a task's payload may ask for in tests; any other payload runs for the default time.
type work struct {
	RunMS       *uint32 `json:"test_run_ms"`
	AnswerBytes int     `json:"test_answer_bytes"`
}

func (t *task) report(bootID string) beryllatch.TaskReport {
	return beryllatch.TaskReport{State: t.state, BootID: bootID, Fence: t.fence}
}

// refuses says why an attempt must not start; nil if it may.
func (t *task) refuses(fence uint64) *refusal {
	switch {
	case t == nil:
		return nil
	case t.ran[fence]:
		f := conflict("already_started", "this attempt has started before")
		f.ran = true
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
	if k.repeatedStart(w, id, fence) {
		return
	}
	o, body, ok := k.prepare(w, r, func(o order) *refusal {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.tasks[id].refuses(o.fence)
	})
	if !ok {
		return
	}
	if !k.launch(w, o, body) {
		return
	}
	if k.hit(func(f *Faults) *Trigger { return &f.CutAfterStart }) {
		berylreply.Cut(w)
		return
	}
	k.mu.Lock()
	report := k.tasks[id].report(k.bootID)
	k.mu.Unlock()
	// A report always encodes.
	b, _ := json.Marshal(report)
	k.answer(w, r, o, answer{
		id: id, status: http.StatusAccepted, header: http.Header{"Content-Type": {"application/json"}}, body: b,
	})
}

// repeatedStart answers for an attempt that has started before; its run state is not "not run".
func (k *Worker) repeatedStart(w http.ResponseWriter, id string, fence uint64) bool {
	k.mu.Lock()
	t := k.tasks[id]
	if t == nil || !t.ran[fence] {
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

// launch starts an admitted task; it has answered if it returns false.
func (k *Worker) launch(w http.ResponseWriter, o order, body []byte) bool {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	var asked work
	if json.Unmarshal(body, &asked) == nil {
		if asked.RunMS != nil {
			o.run = time.Duration(*asked.RunMS) * time.Millisecond
		}
		o.answerBytes = min(max(asked.AnswerBytes, 0), maxAnswerBytes)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.tasks[o.id]
	// Another attempt may have arrived while the body was read.
	if fail := t.refuses(o.fence); fail != nil {
		k.running--
		fail.write(w)
		return false
	}
	if t == nil {
		t = &task{ran: make(map[uint64]bool)}
		k.tasks[o.id] = t
	}
	t.state, t.fence, t.share, t.result = beryllatch.TaskRunRunning, o.fence, 1, nil
	t.ran[o.fence] = true
	t.ends, t.lease = time.Now().Add(o.run), o.lease
	t.start = k.startLocked(o, KindTask, digest)
	t.changed = make(chan struct{}, 1)
	go k.runTask(t, t.start, t.changed, output(digest, o.answerBytes))
	return true
}

// runTask ends the attempt when its time is up, its lease expires or it is stopped.
func (k *Worker) runTask(t *task, start *Start, changed <-chan struct{}, result []byte) {
	for {
		k.mu.Lock()
		now := time.Now()
		switch {
		case t.start != start || t.state != beryllatch.TaskRunRunning:
			k.endLocked(start, OutcomeStopped)
			k.mu.Unlock()
			return
		case !now.Before(t.lease) && t.lease.Before(t.ends):
			t.state = beryllatch.TaskRunStopped
			k.endLocked(start, OutcomeStopped)
			k.mu.Unlock()
			return
		case !now.Before(t.ends):
			t.state = beryllatch.TaskRunDone
			t.result = result
			outcome := OutcomeDone
			if k.faults.FailEverything {
				t.state, t.result, outcome = beryllatch.TaskRunFailed, nil, OutcomeFailed
			}
			k.endLocked(start, outcome)
			k.mu.Unlock()
			return
		}
		next := t.ends
		if t.lease.Before(next) {
			next = t.lease
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

// wake makes the running attempt look at its changed limits.
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
