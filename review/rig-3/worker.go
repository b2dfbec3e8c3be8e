package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease    = 10 * time.Second
	maxListed   = 500
	restoreTime = 600 * time.Millisecond
	pingTime    = 1500 * time.Millisecond
)

// worker is one life of a machine.
type worker struct {
	fleet   *fleet
	id      string
	machine string
	rack    string
	address string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	gone     bool
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*run
	stopped  map[string]int64
	ended    []end
	last     int64
	acked    int64
	wake     chan struct{}
}

type run struct {
	task     string
	number   int64
	started  time.Time
	done     time.Duration // The work that the checkpoint held.
	duration time.Duration
	saves    bool
	timer    *time.Timer
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
	at     time.Time
}

// fleet is all workers and the record of what they ran.
type fleet struct {
	store    *store
	pool     string
	record   *record
	mu       sync.Mutex
	workers  map[string]*worker // By machine.
	racks    map[string]string
	nextID   int
	sequence int
	// done holds when each task ended done, started when it was last started, running where it runs now.
	done, started map[string]time.Time
	running       map[string]int
	starts        map[string]int
	// again holds the tasks that were started after their end was taken note of.
	noted map[string]time.Time
	again []string
	// kinds holds the labels of machines whose kind isn't "a"; refuses, if set, says whether the worker on a machine is unhealthy and
	// answers starts with 503.
	kinds   map[string]string
	refuses func(machine string) bool
	// fronts holds the proxies before the workers' machines, if there are any.
	fronts map[string]*front
}

func newFleet(s *store, pool string, rec *record) *fleet {
	return &fleet{
		store: s, pool: pool, record: rec, workers: make(map[string]*worker), racks: make(map[string]string), done: make(map[string]time.Time),
		started: make(map[string]time.Time), running: make(map[string]int), starts: make(map[string]int), noted: make(map[string]time.Time),
	}
}

const (
	workerCPU = 16000
	workerMem = 65536
)

// add starts a new worker on a machine.
func (f *fleet) add(machine, rack string) error {
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("i-%06d", f.nextID)
	f.mu.Unlock()
	return f.begin(machine, rack, id, "127.0.0.1:0")
}

// begin starts a life of a worker, which knows nothing of another one.
func (f *fleet) begin(machine, rack, id, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w := &worker{
		fleet: f, id: id, machine: machine, rack: rack, address: ln.Addr().String(), born: time.Now(),
		runs: make(map[string]*run), stopped: make(map[string]int64), wake: make(chan struct{}),
	}
	f.mu.Lock()
	f.workers[machine], f.racks[machine] = w, rack
	f.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	f.mu.Lock()
	if p := f.fronts[machine]; p != nil {
		w.address = p.address
	}
	f.mu.Unlock()
	f.register(w)
	return nil
}

func (f *fleet) register(w *worker) {
	w.mu.Lock()
	gone := w.gone
	w.mu.Unlock()
	if gone {
		return
	}
	f.mu.Lock()
	f.sequence++
	sequence := f.sequence
	f.mu.Unlock()
	b, err := json.Marshal(body{
		"service": f.pool, "address": w.address, "zone": "nbo-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": body{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{f.kind(w.machine), w.rack}, "sequence": sequence,
		"machine": w.machine, "born": w.born.UnixMilli(), "clock_ms": w.clock().Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	f.store.put(row{Table: "servers", Key: w.id, Value: b})
}

// kind returns the label of a machine's kind.
func (f *fleet) kind(machine string) string {
	if k, ok := f.kinds[machine]; ok {
		return k
	}
	return "a"
}

// ping renews all registrations until ctx ends.
func (f *fleet) ping(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		var all []*worker
		for _, w := range f.workers {
			all = append(all, w)
		}
		f.mu.Unlock()
		for _, w := range all {
			f.register(w)
		}
		sleep(ctx, pingTime)
	}
}

// crash ends the worker on a machine at once; its entry goes after three ping intervals of silence.
func (f *fleet) crash(machine string) {
	if w := f.end(machine); w != nil {
		time.AfterFunc(3*pingTime, func() { f.store.remove(row{Table: "servers", Key: w.id}) })
	}
}

// restart ends the worker on a machine and starts it again under its id and at its address.
func (f *fleet) restart(machine string, after time.Duration) error {
	w := f.end(machine)
	if w == nil {
		return fmt.Errorf("no worker on %s", machine)
	}
	time.Sleep(after)
	address := w.address
	if f.fronts[machine] != nil {
		address = "127.0.0.1:0"
	}
	if err := f.begin(machine, w.rack, w.id, address); err != nil {
		return err
	}
	f.record.write("worker %s on %s has started again under its id", w.id, machine)
	return nil
}

// end ends the worker on a machine.
func (f *fleet) end(machine string) *worker {
	f.mu.Lock()
	w := f.workers[machine]
	delete(f.workers, machine)
	f.mu.Unlock()
	if w == nil {
		return nil
	}
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		r.timer.Stop()
		f.ran(r.task, -1)
	}
	n := len(w.runs)
	w.runs = nil
	w.mu.Unlock()
	_ = w.server.Close()
	f.record.write("worker %s on %s ends with %d runs", w.id, machine, n)
	return w
}

func (f *fleet) ran(task string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[task] += n; f.running[task] == 0 {
		delete(f.running, task)
	}
}

func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire["machines"] {
		// There is only one pool, and no wave.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	out := []body{}
	for m, rack := range f.racks {
		e := body{"machine": m, "pool": f.pool, "state": "down", "zone": "nbo-a", "labels": []string{f.kind(m), rack}, "capacity": body{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}}
		if k := f.workers[m]; k != nil {
			e["state"], e["id"] = "up", k.id
		}
		out = append(out, e)
	}
	f.mu.Unlock()
	answer(w, http.StatusOK, body{"machines": out, "next_token": nil})
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	o, err := readBody(r)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(wire["expect"]) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if refuses := w.fleet.refuses; refuses != nil && r.URL.Path == wire["start"] && refuses(w.machine) {
		w.fleet.record.write("worker %s is unhealthy and answers the start of %s with 503", w.id, o.text("task"))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.expire()
	fence := o.number(wire["fence"])
	if fence < w.fence {
		w.mu.Unlock()
		answer(rw, http.StatusConflict, body{"clock_ms": w.clock().Milliseconds(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.fence = fence
	reason := ""
	switch r.URL.Path {
	case wire["start"]:
		reason = w.start(o)
	case wire["stop"]:
		w.stop(o.text("task"), o.number("run_id"))
	case wire["hold"]:
		w.extend(o.number("deadline_ms"))
		w.acknowledge(o.number(wire["ack"]))
	}
	w.mu.Unlock()
	switch {
	case reason != "":
		answer(rw, http.StatusConflict, body{"clock_ms": w.clock().Milliseconds(), "reason": reason, "born": w.born.UnixMilli()})
	case r.URL.Path == wire["hold"]:
		w.lists(rw, r, time.Duration(o.number("wait_ms"))*time.Millisecond)
	default:
		answer(rw, http.StatusOK, body{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
	}
}

func (w *worker) extend(deadlineMS int64) {
	d := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd = max(w.leaseEnd, d)
}

func (w *worker) expire() {
	if w.clock() < w.leaseEnd {
		return
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

// workOf returns how long a task works by its job's spec: "MS", or "MIN-MAX" for a length that the task's name gives. Every tenth task of
// the latter takes a tenth of MIN to MIN.
func workOf(spec, task string) (work time.Duration, saves bool) {
	spec, saves = strings.CutSuffix(spec, " saves")
	low, high, spread := strings.Cut(spec, "-")
	a, _ := strconv.Atoi(low)
	if !spread {
		return time.Duration(a) * time.Millisecond, saves
	}
	b, _ := strconv.Atoi(high)
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	n := int(h.Sum32() >> 4)
	if n%10 == 0 {
		a, b = a/10, a
	}
	return time.Duration(a+n/10%max(b-a, 1)) * time.Millisecond, saves
}

func (w *worker) start(o body) string {
	task, number := o.text("task"), o.number("run_id")
	if r := w.runs[task]; r != nil && r.number == number {
		w.extend(o.number("deadline_ms"))
		return ""
	}
	if number <= w.stopped[task] {
		w.extend(o.number("deadline_ms"))
		return "old"
	}
	if time.Duration(o.number("deadline_ms"))*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o.number("deadline_ms"))
	r := &run{task: task, number: number, started: time.Now()}
	r.duration, r.saves = workOf(o.text("spec"), task)
	left := r.duration
	if c := o.text("checkpoint"); c != "" {
		ms, _ := strconv.ParseInt(c, 16, 64)
		r.done = time.Duration(ms) * time.Millisecond
		left = max(r.duration-r.done, 0) + restoreTime
	}
	w.runs[task] = r
	f := w.fleet
	f.mu.Lock()
	if at, ok := f.noted[task]; ok {
		f.again = append(f.again, fmt.Sprintf("%s run %d on %s, its end was taken note of %v before", task, number, w.id, time.Since(at)))
	}
	f.started[task] = time.Now()
	f.running[task]++
	f.starts[task]++
	f.mu.Unlock()
	r.timer = time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		w.finish(r, "done")
	})
	return ""
}

// saved returns the run's checkpoint, in steps of half a second of work.
func (r *run) saved() string {
	if !r.saves {
		return ""
	}
	work := min(r.done+time.Since(r.started), r.duration).Truncate(500 * time.Millisecond)
	return fmt.Sprintf("%016x", work.Milliseconds())
}

func (w *worker) stop(task string, number int64) {
	w.stopped[task] = max(w.stopped[task], number)
	if r := w.runs[task]; r != nil && r.number <= number {
		w.finish(r, "stopped")
	}
}

func (w *worker) finish(r *run, how string) {
	if w.gone || w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.last++
	w.stopped[r.task] = max(w.stopped[r.task], r.number)
	w.ended = append(w.ended, end{w.last, r.task, r.number, how, r.saved(), time.Now()})
	f := w.fleet
	f.ran(r.task, -1)
	if how == "done" {
		f.mu.Lock()
		f.done[r.task] = time.Now()
		f.mu.Unlock()
	}
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) acknowledge(cursor int64) {
	w.acked = max(w.acked, cursor)
	for len(w.ended) > 0 && w.ended[0].number <= cursor {
		if e := w.ended[0]; e.how == "done" {
			w.fleet.mu.Lock()
			w.fleet.noted[e.task] = time.Now()
			w.fleet.mu.Unlock()
		}
		w.ended = w.ended[1:]
	}
}

func (w *worker) lists(rw http.ResponseWriter, r *http.Request, wait time.Duration) {
	timeout := time.After(wait)
	for wait > 0 {
		w.mu.Lock()
		w.expire()
		wake, n := w.wake, len(w.ended)
		w.mu.Unlock()
		if n > 0 {
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
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, x := range w.runs {
		work := x.done + time.Since(x.started)
		running = append(running, []any{x.task, x.number, x.saved(), min(99, int(100*work/max(x.duration, 1))), 0})
	}
	finished := [][]any{}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}
