package rig2

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease        = 10 * time.Second
	stopTime        = 20 * time.Millisecond
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	maxListed       = 500
)

// event is something that a worker or the instance interface has seen.
type event struct {
	at                 time.Time
	what, worker, task string
	run                int
	// acknowledged is true for an end that was taken note of before the worker's lease expired.
	acknowledged bool
	outcome      string
}

// machine is an instance of the platform.
type machine struct {
	name, pool, zone string
	labels           []string
	cpu              int
	state            string
	worker           *worker
	token            int64
	// maintained holds the waves for which the machine has had its maintenance.
	maintained map[int]bool
	address    string
}

// fleet is the platform's machines, their workers and the instance interface.
type fleet struct {
	store *store
	log   func(format string, args ...any)
	// lateOrder returns how much later a maintenance is begun whose answer is lost, or 0 for any other one.
	lateOrder func(machine string) time.Duration
	// heldBack returns true while a worker answers nothing.
	heldBack func(machine string) bool
	// taskTime returns how long a run takes and how it ends.
	taskTime func(task, spec string, run int) (time.Duration, string)

	mu       sync.Mutex
	machines map[string]*machine
	count    int
	events   []event
	// down holds the machines that are in maintenance, by wave.
	down map[string]int
}

func newFleet(s *store, log func(string, ...any)) *fleet {
	return &fleet{
		store: s, log: log, machines: make(map[string]*machine), down: make(map[string]int),
		taskTime: func(string, string, int) (time.Duration, string) { return 300 * time.Millisecond, "done" },
	}
}

func (f *fleet) record(e event) {
	e.at = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	f.log("%s: %s %s run %d %s", e.worker, e.what, e.task, e.run, e.outcome)
}

// of returns the events of a kind whose task begins with the prefix.
func (f *fleet) of(what, prefix string) []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []event
	for _, e := range f.events {
		if e.what == what && strings.HasPrefix(e.task, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// add creates a machine and starts its worker.
func (f *fleet) add(name, pool string, labels ...string) *machine {
	m := &machine{name: name, pool: pool, zone: "z1", labels: labels, cpu: 16000, maintained: make(map[int]bool)}
	m.address = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.heldBack != nil && f.heldBack(name) {
			<-r.Context().Done()
			return
		}
		f.mu.Lock()
		wk := m.worker
		f.mu.Unlock()
		if wk == nil || r.Header.Get("X-Beryllatch-Expect-Instance") != wk.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		wk.serve(w, r)
	}))
	f.mu.Lock()
	f.machines[name] = m
	f.startWorker(m)
	f.mu.Unlock()
	return m
}

// startWorker starts a worker on the machine; the caller holds the lock.
func (f *fleet) startWorker(m *machine) {
	f.count++
	w := &worker{
		id: fmt.Sprintf("i-%04d", f.count), machine: m, fleet: f, born: time.Now(), runs: make(map[string]*taskRun),
		highest: make(map[string]int), ended: make(chan struct{}),
	}
	m.worker, m.state = w, "up"
	go w.beat()
	go w.watchLease()
}

// endWorker ends the worker of the machine at once; the caller holds the lock.
func (f *fleet) endWorker(m *machine, state string) {
	w := m.worker
	m.worker, m.state = nil, state
	if w != nil {
		go w.crash()
	}
}

// ServeHTTP serves the instance interface.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/machines" {
		f.mu.Lock()
		list := []map[string]any{}
		for _, name := range slices.Sorted(maps.Keys(f.machines)) {
			m := f.machines[name]
			e := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
				"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0},
			}
			if m.worker != nil {
				e["id"] = m.worker.id
			}
			list = append(list, e)
		}
		f.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Beryllatch-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Beryllatch-Duty-Holder")
	order := func() (int, string) { return f.move(o.Machine, o.Pool, holder, token) }
	if r.URL.Path == "/v1/machine-upkeep" {
		order = func() (int, string) { return f.maintain(o.Machine, o.Wave, holder, token) }
		if f.lateOrder != nil {
			if d := f.lateOrder(o.Machine); d > 0 {
				f.log("instance interface: maintenance of %s by %s token %d: no answer, carried out %v later", o.Machine, holder, token, d)
				time.AfterFunc(d, func() { order() })
				<-r.Context().Done()
				return
			}
		}
	}
	status, reason := order()
	if reason != "" {
		answer(w, status, map[string]string{"reason": reason})
		return
	}
	w.WriteHeader(status)
}

func (f *fleet) move(name, pool, holder string, token int64) (int, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.token:
		return http.StatusConflict, "fence"
	}
	m.token = token
	switch {
	case m.pool == pool:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	f.log("instance interface: %s token %d moves %s to %s", holder, token, name, pool)
	f.endWorker(m, "moving")
	m.pool = pool
	time.AfterFunc(moveTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startWorker(m)
	})
	return http.StatusOK, ""
}

// waveRow is what the operator has stored about a wave.
type waveRow struct {
	Wave      int      `json:"wave"`
	Machines  []string `json:"machines"`
	DeadlineS int      `json:"deadline_s"`
	Maximum   int      `json:"maximum"`
}

func (f *fleet) maintain(name string, wave int, holder string, token int64) (int, string) {
	var stored waveRow
	_ = json.Unmarshal([]byte(f.store.text("op", "", "wave/"+strconv.Itoa(wave))), &stored) // Without a row it names no machine.
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.token:
		f.log("instance interface: %s token %d: maintenance of %s is rejected, token %d was seen", holder, token, name, m.token)
		return http.StatusConflict, "fence"
	}
	m.token = token
	switch {
	case !slices.Contains(stored.Machines, name):
		return http.StatusConflict, "wave"
	case m.maintained[wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	others := 0
	for n, w := range f.down {
		if n != name && w == wave {
			others++
		}
	}
	f.log("instance interface: %s token %d: maintenance of %s in wave %d begins, %d others are down, %d may be", holder, token, name, wave, others, stored.Maximum)
	if others >= stored.Maximum {
		f.events = append(f.events, event{at: time.Now(), what: "over maximum", task: name})
	}
	f.events = append(f.events, event{at: time.Now(), what: "maintenance", task: name})
	m.maintained[wave], f.down[name] = true, wave
	f.endWorker(m, "upkeep")
	time.AfterFunc(maintenanceTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.down, name)
		f.startWorker(m)
		f.log("instance interface: %s is up again", name)
	})
	return http.StatusOK, ""
}

// worker is one life of a worker.
type worker struct {
	id      string
	machine *machine
	fleet   *fleet
	born    time.Time

	mu      sync.Mutex
	crashed bool
	fence   int64
	lease   time.Duration
	lapses  int
	lapsed  bool
	runs    map[string]*taskRun
	// highest is the highest run of a task that has ended or been stopped.
	highest  map[string]int
	finished []finishedRun
	number   int64
	ended    chan struct{}
	sequence int
}

type taskRun struct {
	task    string
	run     int
	began   time.Time
	takes   time.Duration
	outcome string
	timer   *time.Timer
}

type finishedRun struct {
	number    int64
	task      string
	run       int
	how       string
	lapses    int
	forgotten bool
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

const beatInterval = 1500 * time.Millisecond

// beat keeps the worker's entry in the store until it crashes.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		crashed := w.crashed
		w.sequence++
		entry := map[string]any{
			"service": w.machine.pool, "address": w.machine.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int{"cpu": w.machine.cpu, "mem_mb": 65536, "gpu": 0}, "labels": w.machine.labels,
			"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "machine": w.machine.name, "born": w.born.UnixMilli(),
		}
		w.mu.Unlock()
		if crashed {
			w.fleet.store.put("servers", w.id, nil)
			return
		}
		w.fleet.store.put("servers", w.id, entry)
		time.Sleep(beatInterval)
	}
}

// watchLease ends the runs of a worker that is no longer called.
func (w *worker) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.crashed {
			w.mu.Unlock()
			return
		}
		w.lapse()
		w.mu.Unlock()
	}
}

func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.fleet.record(event{what: "gone", worker: w.id, task: r.task, run: r.run})
	}
	w.runs = make(map[string]*taskRun)
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

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.lapse()
	reason := ""
	if o.Fence < w.fence {
		reason = "fence"
	} else {
		w.fence = o.Fence
		switch r.URL.Path {
		case "/v1/run-start":
			reason = w.start(o)
		case "/v1/run-stop":
			w.stop(o)
		case "/v1/hold":
			w.extend(o)
			w.acknowledge(o.AckCursor)
		}
	}
	w.mu.Unlock()
	switch {
	case reason != "":
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
	case r.URL.Path == "/v1/hold":
		w.list(rw, r, o)
	default:
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
	}
}

func (w *worker) extend(o order) {
	if d := min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxLease); d > w.lease {
		w.lease, w.lapsed = d, false
	}
}

// lapse ends all runs once the lease has expired.
func (w *worker) lapse() {
	if w.clock() < w.lease {
		return
	}
	if !w.lapsed {
		w.lapsed = true
		w.lapses++
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
}

func (w *worker) start(o order) string {
	if r := w.runs[o.Task]; r != nil && r.run == o.RunID {
		w.extend(o)
		return ""
	}
	if o.RunID <= w.highest[o.Task] {
		w.extend(o)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o)
	takes, outcome := w.fleet.taskTime(o.Task, o.Spec, o.RunID)
	r := &taskRun{task: o.Task, run: o.RunID, began: time.Now(), takes: takes, outcome: outcome}
	w.runs[o.Task] = r
	w.fleet.record(event{what: "start", worker: w.id, task: o.Task, run: o.RunID})
	r.timer = time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.runs[r.task] == r {
			w.end(r, r.outcome)
		}
	})
	return ""
}

func (w *worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.run <= o.RunID {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[r.task] == r {
				w.end(r, "stopped")
			}
		})
	}
}

// end lists the end of a run; the caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.number++
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.finished = append(w.finished, finishedRun{number: w.number, task: r.task, run: r.run, how: how, lapses: w.lapses})
	w.fleet.record(event{what: "end", worker: w.id, task: r.task, run: r.run, outcome: how})
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *worker) acknowledge(cursor int64) {
	for len(w.finished) > 0 && w.finished[0].number <= cursor {
		e := w.finished[0]
		w.finished = w.finished[1:]
		w.fleet.record(event{
			what: "noted", worker: w.id, task: e.task, run: e.run, outcome: e.how, acknowledged: e.lapses == w.lapses,
		})
	}
}

func (w *worker) list(rw http.ResponseWriter, r *http.Request, o order) {
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting; {
		w.mu.Lock()
		w.lapse()
		n, ended := len(w.finished), w.ended
		w.mu.Unlock()
		if n > 0 {
			break
		}
		select {
		case <-ended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, t := range w.runs {
		running = append(running, []any{t.task, t.run, "", min(99, int(100*time.Since(t.began)/t.takes)), 0})
	}
	for _, e := range w.finished[:min(len(w.finished), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	})
}
