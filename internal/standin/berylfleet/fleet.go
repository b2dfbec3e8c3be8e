package berylfleet

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fleet is the workers, the instance interface and the record of what ran; NewFleet makes one.
type Fleet struct {
	Store *Store

	mu      sync.Mutex
	workers []*Worker
	lives   int
	// addresses tells where a worker is reached, by instance.
	addresses map[string]string
	needs     map[string][2]int
	running   map[string]*Worker
	done      map[string]bool
	starts    map[string]int
	violation []string
}

// NewFleet returns a fleet without workers.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		Store: store, addresses: make(map[string]string), needs: make(map[string][2]int), running: make(map[string]*Worker),
		done: make(map[string]bool), starts: make(map[string]int),
	}
}

// Expect tells what each task of a job takes, for the check of capacities.
func (f *Fleet) Expect(job string, cpu, memory int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs[job] = [2]int{cpu, memory}
}

// Add starts a life of an instance and registers it under the address at which it is reached.
func (f *Fleet) Add(instance, pool, address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	w := &Worker{
		ID: fmt.Sprintf("i-%04d", f.lives), Instance: instance, Pool: pool, CPU: 8000, Memory: 16384, fleet: f, born: time.Now(),
		runs: make(map[string]*run), stopped: make(map[string]int), wake: make(chan struct{}),
	}
	f.workers = append(f.workers, w)
	f.addresses[instance] = address
	return w
}

// Current returns the live worker of an instance, or nil.
func (f *Fleet) Current(instance string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current(instance)
}

func (f *Fleet) current(instance string) *Worker {
	for i := len(f.workers) - 1; i >= 0; i-- {
		if w := f.workers[i]; w.Instance == instance && !w.dead.Load() {
			return w
		}
	}
	return nil
}

// Heartbeat renews the registrations of all live workers, and drops those of dead ones.
func (f *Fleet) Heartbeat(sequence int) {
	f.mu.Lock()
	workers := append([]*Worker(nil), f.workers...)
	f.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		w.lapse()
		w.mu.Unlock()
		row := Row{Table: "servers", Key: w.ID}
		if w.dead.Load() {
			f.Store.Remove(row)
			continue
		}
		row.Value = f.registration(w, sequence)
		f.Store.Put(row)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := f.workers[:0]
	for _, w := range f.workers {
		if !w.dead.Load() {
			alive = append(alive, w)
		}
	}
	f.workers = alive
}

func (f *Fleet) registration(w *Worker, sequence int) []byte {
	f.mu.Lock()
	address := f.addresses[w.Instance]
	f.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": w.Pool, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": w.Memory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clock_ms": w.clock().Milliseconds(), "sequence": sequence, "machine": w.Instance, "born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // The map has only texts and numbers.
	}
	return b
}

// ServeHTTP serves the instance interface: a list without moves or maintenance.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/machines" {
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := []map[string]any{}
	for instance := range f.addresses {
		m := map[string]any{
			"machine": instance, "pool": "p", "state": "down", "zone": "z1", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 16384, "gpu": 0},
		}
		if k := f.current(instance); k != nil {
			m["state"], m["id"] = "up", k.ID
		}
		machines = append(machines, m)
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

// duration derives a task's run time from its name, between 0.1 and 0.6 s.
func (f *Fleet) duration(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // A hash never fails.
	return 100*time.Millisecond + time.Duration(h.Sum32()%500)*time.Millisecond
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// started records a start and checks the promises about it; the worker is locked.
func (f *Fleet) started(w *Worker, o order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job := jobOf(o.Task)
	f.starts[job]++
	if other := f.running[o.Task]; other != nil {
		f.violate("task %s run %d starts on %s while it runs on %s", o.Task, o.RunID, w.ID, other.ID)
	}
	if f.done[o.Task] {
		f.violate("task %s run %d starts after its end was acknowledged", o.Task, o.RunID)
	}
	if _, ok := f.needs[job]; !ok {
		f.violate("task %s starts, and nobody has submitted its job", o.Task)
	}
	f.running[o.Task] = w
	cpu, memory := 0, 0
	for task := range w.runs {
		n := f.needs[jobOf(task)]
		cpu, memory = cpu+n[0], memory+n[1]
	}
	if cpu > w.CPU || memory > w.Memory {
		f.violate("worker %s has %d of %d cpu and %d of %d MB taken", w.ID, cpu, w.CPU, memory, w.Memory)
	}
}

func (f *Fleet) ended(w *Worker, r *run, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[r.task] == w {
		delete(f.running, r.task)
	}
}

func (f *Fleet) acknowledged(e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.how == "done" {
		f.done[e.task] = true
	}
}

func (f *Fleet) violate(format string, args ...any) {
	f.violation = append(f.violation, fmt.Sprintf(format, args...))
}

// Violations returns the promises that were broken so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violation...)
}

// Starts returns how many runs of a job's tasks were started.
func (f *Fleet) Starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}
