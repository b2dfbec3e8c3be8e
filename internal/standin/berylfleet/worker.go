package berylfleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is one life of an instance; it runs what it is told under leases.
type Worker struct {
	ID, Instance, Pool string
	// CPU and Memory are its capacity, in thousandths of a core and megabytes.
	CPU, Memory int

	fleet *Fleet
	born  time.Time

	// dead is read without the lock: the fleet asks while it holds its own.
	dead     atomic.Bool
	mu       sync.Mutex
	fence    int64
	deadline time.Duration
	runs     map[string]*run
	stopped  map[string]int
	ends     []end
	last     int64
	wake     chan struct{}
}

type run struct {
	task    string
	n       int
	started time.Time
	took    time.Duration
	timer   *time.Timer
}

type end struct {
	number int64
	task   string
	n      int
	how    string
}

type order struct {
	Task       string `json:"task"`
	RunID      int    `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// maxLease is the longest lease that a worker grants.
const maxLease = 10 * time.Second

// ServeHTTP serves orders.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.dead.Load() || r.Header.Get("X-Beryllatch-Expect-Instance") != w.ID {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.lapse()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.reject(rw, "fence")
		return
	}
	w.fence = o.Fence
	status, reason := http.StatusOK, ""
	switch r.URL.Path {
	case "/v1/run-start":
		reason = w.start(o)
	case "/v1/run-stop":
		w.stop(o)
	case "/v1/hold":
		w.extend(o)
		w.acknowledge(o.AckCursor)
	case "/v1/pace":
	default:
		status = http.StatusNotFound
	}
	w.mu.Unlock()
	switch {
	case reason != "":
		w.reject(rw, reason)
	case r.URL.Path == "/v1/hold":
		w.list(rw, r, o)
	default:
		answer(rw, status, map[string]any{"clock_ms": w.clock().Milliseconds()})
	}
}

func (w *Worker) reject(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

func (w *Worker) extend(o order) {
	d := min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxLease)
	w.deadline = max(w.deadline, d)
}

// lapse kills everything once the lease has run out.
func (w *Worker) lapse() {
	if w.clock() < w.deadline {
		return
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

func (w *Worker) start(o order) string {
	if r := w.runs[o.Task]; r != nil && r.n == o.RunID {
		w.extend(o)
		return ""
	}
	if o.RunID <= w.stopped[o.Task] {
		w.extend(o)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o)
	r := &run{task: o.Task, n: o.RunID, started: time.Now(), took: w.fleet.duration(o.Task)}
	w.runs[o.Task] = r
	w.fleet.started(w, o)
	r.timer = time.AfterFunc(r.took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		w.finish(r, "done")
	})
	return ""
}

func (w *Worker) stop(o order) {
	w.stopped[o.Task] = max(w.stopped[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.n <= o.RunID {
		w.finish(r, "stopped")
	}
}

// finish ends a run that is present.
func (w *Worker) finish(r *run, how string) {
	if w.dead.Load() || w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	r.timer.Stop()
	w.last++
	w.stopped[r.task] = max(w.stopped[r.task], r.n)
	w.ends = append(w.ends, end{w.last, r.task, r.n, how})
	w.fleet.ended(w, r, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *Worker) acknowledge(cursor int64) {
	for len(w.ends) > 0 && w.ends[0].number <= cursor {
		w.fleet.acknowledged(w.ends[0])
		w.ends = w.ends[1:]
	}
}

func (w *Worker) list(rw http.ResponseWriter, r *http.Request, o order) {
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for {
		w.mu.Lock()
		w.lapse()
		wake, n := w.wake, len(w.ends)
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
		percent := min(99, int(100*time.Since(run.started)/run.took))
		running = append(running, []any{run.task, run.n, "", percent, 0})
	}
	finished := [][]any{}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.n, e.how, ""})
	}
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"clock_ms": clock, "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// Crash ends the worker and everything on it, at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.finish(r, "crashed")
	}
	w.dead.Store(true)
}
