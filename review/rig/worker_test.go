package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// The bounds of the site that concern workers.
const (
	holdMax      = 10 * time.Second
	listedEnds   = 500
	heartbeat    = 1500 * time.Millisecond
	stopDuration = 50 * time.Millisecond // stop_timeout_ms is 200.
)

// Worker is a worker of the platform, over its lives.
type Worker struct {
	ID, Machine, Rack string
	// Kind is the label that names the worker's kind.
	Kind string
	CPU  int // Thousandths of a core.
	// Rate is the speed of the worker's own steady clock; a clock may be 2% slow.
	Rate float64

	fleet   *Fleet
	address string

	mu   sync.Mutex
	life *life
	// cut is true while packets from and to the worker are lost.
	cut      bool
	conns    map[net.Conn]bool
	listener net.Listener
	sequence int
}

// life is one boot of a worker.
type life struct {
	began    time.Time
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]int // The highest run that was stopped or has ended, by task.
	ends     []end
	last     int64
	changed  chan struct{}
	over     bool
}

type run struct {
	task     string
	id       int
	began    time.Time
	duration time.Duration
	stopping bool
}

type end struct {
	n    int64
	task string
	run  int
	how  string
	// lapsed is true if the worker's lease has lapsed since.
	lapsed bool
}

type order struct {
	Task       string `json:"task"`
	RunID      int    `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	AckCursor  *int64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) clock(l *life) time.Duration {
	return time.Duration(float64(time.Since(l.began)) * w.Rate)
}

// boot begins a new life; the worker registers after the given time.
func (w *Worker) boot(registerAfter time.Duration) error {
	ln, err := net.Listen("tcp", w.listenAddress())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address, w.listener = ln.Addr().String(), ln
	w.conns = make(map[net.Conn]bool)
	l := &life{began: time.Now(), runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{})}
	w.life = l
	w.mu.Unlock()
	server := &http.Server{Handler: w, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateClosed {
			delete(w.conns, c)
		} else {
			w.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(ln) }()
	go w.work(l)
	w.fleet.rec.Add("worker %s boots at %s", w.ID, w.address)
	if registerAfter == 0 {
		w.register()
	} else {
		time.AfterFunc(registerAfter, w.register)
	}
	return nil
}

func (w *Worker) listenAddress() string {
	if w.address == "" {
		return "127.0.0.1:0"
	}
	return w.address
}

// Crash ends the worker's life at once; all that runs on it is gone.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life.over = true
	for _, r := range w.life.runs {
		w.fleet.runEnded(w, r, "crashed")
	}
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.fleet.rec.Add("worker %s crashes", w.ID)
}

// Restart boots the worker again under its ID and address; it registers after the given time, which is below heartbeat_ms.
func (w *Worker) Restart(registerAfter time.Duration) error { return w.boot(registerAfter) }

// Cut cuts the worker off from all nodes for d; it runs on.
func (w *Worker) Cut(d time.Duration) {
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	w.fleet.rec.Add("worker %s is cut off from all nodes for %v", w.ID, d)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cut = false
		// What was held up on the old channels is lost.
		for c := range w.conns {
			_ = c.Close()
		}
		w.fleet.rec.Add("worker %s is reached again", w.ID)
	})
}

func (w *Worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// work ends runs when they are done, when they are stopped and when the lease has lapsed.
func (w *Worker) work(l *life) {
	nextBeat := time.Now().Add(heartbeat)
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if l.over {
			w.mu.Unlock()
			return
		}
		lapsed := w.clock(l) >= l.leaseEnd
		for i := range l.ends {
			l.ends[i].lapsed = l.ends[i].lapsed || lapsed
		}
		for _, r := range l.runs {
			switch {
			case lapsed:
				w.finish(l, r, "lapsed")
			case !r.stopping && time.Since(r.began) >= r.duration:
				w.finish(l, r, "done")
			}
		}
		w.mu.Unlock()
		if !time.Now().Before(nextBeat) {
			nextBeat = nextBeat.Add(heartbeat)
			w.register()
		}
	}
}

func (w *Worker) register() {
	w.mu.Lock()
	w.sequence++
	row := map[string]any{
		"service": Service, "address": w.address, "zone": "nbo-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": 65536, "gpu": 0}, "labels": []string{w.Kind, w.Rack},
		"clock_ms": w.clock(w.life).Milliseconds(), "sequence": w.sequence, "machine": w.Machine, "born": w.life.began.UnixMilli(),
	}
	w.mu.Unlock()
	w.fleet.Store.Put("servers", w.ID, row)
	if registered := w.fleet.registered(w.ID, row["born"].(int64)); registered {
		w.fleet.rec.Add("worker %s registers, born %d", w.ID, row["born"])
	}
}

func (w *Worker) finish(l *life, r *run, how string) {
	if l.over || l.runs[r.task] != r {
		return
	}
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.id)
	l.last++
	l.ends = append(l.ends, end{n: l.last, task: r.task, run: r.id, how: how})
	w.fleet.runEnded(w, r, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the nodes.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.isCut() {
		w.drop(r)
	}
	w.mu.Lock()
	l := w.life
	if l.over || r.Header.Get("X-Beryllatch-Expect-Instance") != w.ID {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < l.fence {
		w.mu.Unlock()
		w.answer(rw, r, l, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.fence = o.Fence
	reason := ""
	switch r.URL.Path {
	case "/v1/run-start":
		reason = w.start(l, o)
	case "/v1/run-stop":
		w.stop(l, o)
	case "/v1/hold":
		w.extend(l, o)
		if o.AckCursor != nil {
			w.acknowledge(l, *o.AckCursor)
		}
	}
	w.mu.Unlock()
	switch {
	case reason != "":
		w.answer(rw, r, l, http.StatusConflict, map[string]any{"reason": reason})
	case r.URL.Path == "/v1/hold":
		w.answerHold(rw, r, l, o)
	default:
		w.answer(rw, r, l, http.StatusOK, map[string]any{})
	}
}

// drop loses a call or an answer: the channel stays silent until the node gives up or the cut has ended.
func (w *Worker) drop(r *http.Request) {
	for w.isCut() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, l *life, status int, body map[string]any) {
	if w.isCut() {
		w.drop(r)
	}
	body["clock_ms"] = w.clock(l).Milliseconds()
	body["born"] = l.began.UnixMilli()
	reply(rw, status, body)
}

// extend takes over a deadline: a longer lease is shortened, and it never shortens one that was given.
func (w *Worker) extend(l *life, o order) {
	l.leaseEnd = max(l.leaseEnd, min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock(l)+holdMax))
}

func (w *Worker) start(l *life, o order) string {
	if r := l.runs[o.Task]; r != nil && r.id == o.RunID {
		w.extend(l, o)
		return ""
	}
	if o.RunID <= l.highest[o.Task] || l.runs[o.Task] != nil {
		w.extend(l, o)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock(l) {
		return "late"
	}
	w.extend(l, o)
	r := &run{task: o.Task, id: o.RunID, began: time.Now(), duration: w.fleet.duration(o.Task)}
	l.runs[o.Task] = r
	w.fleet.runStarted(w, l, r)
	return ""
}

func (w *Worker) stop(l *life, o order) {
	l.highest[o.Task] = max(l.highest[o.Task], o.RunID)
	r := l.runs[o.Task]
	if r == nil || r.id > o.RunID || r.stopping {
		return
	}
	r.stopping = true
	w.fleet.rec.Add("worker %s is told to stop %s run %d", w.ID, r.task, r.id)
	time.AfterFunc(stopDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(l, r, "stopped")
	})
}

func (w *Worker) acknowledge(l *life, cursor int64) {
	for len(l.ends) > 0 && l.ends[0].n <= cursor {
		w.fleet.endNoted(l.ends[0])
		l.ends = l.ends[1:]
	}
}

func (w *Worker) answerHold(rw http.ResponseWriter, r *http.Request, l *life, o order) {
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := true; waiting; {
		w.mu.Lock()
		changed, n, over := l.changed, len(l.ends), l.over
		w.mu.Unlock()
		if n > 0 || over {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, u := range l.runs {
		percent := min(99, int(100*time.Since(u.began)/u.duration))
		running = append(running, []any{u.task, u.id, "", percent, 0})
	}
	for _, e := range l.ends[:min(len(l.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.answer(rw, r, l, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// Running returns how many runs the worker has.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.life.runs)
}
