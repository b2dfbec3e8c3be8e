package berylfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is one incarnation of the worker on an instance. It carries out the scheduling node's calls until its lease expires.
type Worker struct {
	ID, Instance, Pool string
	// CPU and Memory are its capacity, in thousandths of a core and in megabytes.
	CPU, Memory int

	fleet     *Fleet
	startedAt time.Time
	clockRate float64
	// leaseUntil is the end of the lease, in Unix nanoseconds. It is read without the lock by the checks of other workers' starts.
	leaseUntil atomic.Int64
	// restarting is true from a crash to the start of the next incarnation.
	restarting atomic.Bool

	// crashed is true after a crash. It is read without the lock, by the fleet while it holds its own.
	crashed atomic.Bool
	mu      sync.Mutex
	// fence is the highest fencing token received so far; calls with a lower one are refused.
	fence int64
	// leaseEnd is the end of the lease on the worker's clock.
	leaseEnd time.Duration
	// lapses counts the leases that have expired, and lapsed is true if the last one has.
	lapses int
	lapsed bool
	runs   map[string]*run
	// lastStopped is the highest number of a run that has ended or was told to stop, by task. Runs up to it must not
	// start.
	lastStopped map[string]int
	// ended holds the ended runs whose outcome was not acknowledged yet, and lastNumber is the number of the newest one.
	ended      []endedRun
	lastNumber int64
	// runEnded is closed when a run ends.
	runEnded chan struct{}
}

type run struct {
	task   string
	number int // The number of the run, from 1 for each task.
	// unguarded is true if the order was sent to the incarnation before, and this one could not know it.
	unguarded bool
	started   time.Time
	duration  time.Duration
	timer     *time.Timer
}

// endedRun is the outcome of a run.
type endedRun struct {
	number  int64
	task    string
	run     int
	outcome string
	// at is when the run ended, and lapses is how many leases of the worker had expired by then.
	at        time.Time
	lapses    int
	unguarded bool
}

// order is the body of every call to a worker; each call uses some of the fields.
type order struct {
	Task       string `json:"task"`
	RunID      int    `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.startedAt)) * w.clockRate)
}

// String returns the worker's ID and incarnation.
func (w *Worker) String() string { return fmt.Sprintf("%s born %d", w.ID, w.startedAt.UnixMilli()) }

// Runs returns how many runs are on the worker.
func (w *Worker) Runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// holdsLease reports whether the worker is up and its lease has not expired.
func (w *Worker) holdsLease() bool {
	return !w.crashed.Load() && time.Now().UnixNano() < w.leaseUntil.Load()
}

const (
	// maxLease is the longest lease that a worker grants.
	maxLease = 10 * time.Second
	// maxListedEnds is how many ended runs a worker lists in one answer.
	maxListedEnds = 500
)

// ServeHTTP serves the calls of the scheduling node.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := w.carryOut(r, o, false)
	switch {
	case status == http.StatusMisdirectedRequest:
		rw.WriteHeader(status)
	case reason != "":
		w.reject(rw, reason)
	case r.URL.Path == "/v1/hold":
		w.answerHold(rw, r, o)
	default:
		answer(rw, status, map[string]any{"clock_ms": w.clock().Milliseconds()})
	}
}

// carryOut performs an order, and returns the status of the answer and the reason of a refusal.
func (w *Worker) carryOut(r *http.Request, o order, unguarded bool) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed.Load() || r.Header.Get("X-Beryllatch-Expect-Instance") != w.ID {
		return http.StatusMisdirectedRequest, ""
	}
	w.expireLease()
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		reason = w.start(o, unguarded)
	case "/v1/run-stop":
		w.stop(o)
	case "/v1/hold":
		w.extend(o)
		w.acknowledge(o.AckCursor)
	case "/v1/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, reason
}

// CarryOutLate performs a call that was sent to a worker some time ago, and whose caller gets no answer. An incarnation that has started since
// can refuse it only once it has received a higher fencing token: what it starts before breaks no rule by itself.
func (w *Worker) CarryOutLate(r *http.Request, sentTo *Worker) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err == nil {
		w.carryOut(r, o, w != sentTo)
	}
}

func (w *Worker) reject(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

func (w *Worker) extend(o order) {
	d := min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxLease)
	if d > w.leaseEnd {
		w.leaseEnd, w.lapsed = d, false
		w.leaseUntil.Store(w.startedAt.Add(time.Duration(float64(d) / w.clockRate)).UnixNano())
	}
}

// expireLease ends all runs if the lease has expired.
func (w *Worker) expireLease() {
	if w.clock() < w.leaseEnd {
		return
	}
	if !w.lapsed {
		w.lapsed = true
		w.lapses++
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

// start starts a run and returns "", or returns the reason for a refusal.
func (w *Worker) start(o order, unguarded bool) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.RunID {
		w.extend(o)
		return ""
	}
	if o.RunID <= w.lastStopped[o.Task] {
		w.extend(o)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o)
	r := &run{task: o.Task, number: o.RunID, unguarded: unguarded, started: time.Now(), duration: w.fleet.duration(o.Task)}
	w.runs[o.Task] = r
	if !unguarded {
		w.fleet.recordStart(w, o)
	}
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease()
		w.finish(r, "done")
	})
	return ""
}

func (w *Worker) stop(o order) {
	w.lastStopped[o.Task] = max(w.lastStopped[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.number <= o.RunID {
		w.finish(r, "stopped")
	}
}

// finish ends a run, unless it has already ended.
func (w *Worker) finish(r *run, outcome string) {
	if w.crashed.Load() || w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	r.timer.Stop()
	w.lastNumber++
	w.lastStopped[r.task] = max(w.lastStopped[r.task], r.number)
	w.ended = append(w.ended, endedRun{w.lastNumber, r.task, r.number, outcome, time.Now(), w.lapses, r.unguarded})
	w.fleet.recordEnd(w, r)
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func (w *Worker) acknowledge(cursor int64) {
	for len(w.ended) > 0 && w.ended[0].number <= cursor {
		w.fleet.recordAcknowledgement(w, w.ended[0])
		w.ended = w.ended[1:]
	}
}

// answerHold answers a hold call with the running and ended runs. It waits up to the call's wait time while none has
// ended.
func (w *Worker) answerHold(rw http.ResponseWriter, r *http.Request, o order) {
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for {
		w.mu.Lock()
		w.expireLease()
		wake, n := w.runEnded, len(w.ended)
		w.mu.Unlock()
		if n > 0 || o.WaitMS == 0 {
			break
		}
		select {
		case <-wake:
			continue
		case <-timeout:
		case <-r.Context().Done():
		}
		break
	}
	w.mu.Lock()
	running := [][]any{}
	for _, run := range w.runs {
		percent := min(99, int(100*time.Since(run.started)/run.duration))
		running = append(running, []any{run.task, run.number, "", percent, 0})
	}
	finished := [][]any{}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"clock_ms": clock, "born": w.startedAt.UnixMilli(), "running": running, "finished": finished})
}

// Crash ends the worker and its runs at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.finish(r, "crashed")
	}
	w.crashed.Store(true)
}
