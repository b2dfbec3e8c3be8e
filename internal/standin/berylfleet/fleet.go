package berylfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Fleet is the set of workers, the instance interface and the record of what ran; NewFleet makes one.
type Fleet struct {
	Store *Store
	// OwnRacks gives each instance a rack and a label of its own, named after it with the prefixes "rack-" and "only-".
	OwnRacks bool
	// ClockRate returns the rate of the clock of the next worker; nil means that all clocks are exact.
	ClockRate func() float64

	// Ceiling is that of the one team, in thousandths of a core; 0 means that starts are not checked against it.
	Ceiling int

	mu      sync.Mutex
	workers []*Worker
	// workerCount counts the workers that have been started, for their IDs.
	workerCount int
	// addresses holds the address of each instance.
	addresses map[string]string
	// needs holds what each task of a job needs.
	needs map[string]Needs
	// records holds what has happened to each task.
	records map[string]*taskRecord
	// starts counts the started runs, by job.
	starts map[string]int
	// started and finished count the started runs, and the runs that have ended.
	started, finished int
	violations        []string
}

// NewFleet returns a fleet without workers.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		Store: store, addresses: make(map[string]string), needs: make(map[string]Needs), records: make(map[string]*taskRecord),
		starts: make(map[string]int),
	}
}

// Needs is what each task of a job needs.
type Needs struct {
	// CPU is in thousandths of a core, Memory in megabytes.
	CPU, Memory int
	// Duration is how long a task runs; if it is 0, the task's name determines it.
	Duration time.Duration
}

// Expect announces a job and what each of its tasks needs, for the checks of starts and capacities.
func (f *Fleet) Expect(job string, n Needs) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs[job] = n
}

// Add starts a new worker on an instance, and records the address at which the instance is reached.
func (f *Fleet) Add(instance, pool, address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerCount++
	f.addresses[instance] = address
	return f.start(fmt.Sprintf("i-%04d", f.workerCount), instance, pool)
}

func (f *Fleet) start(id, instance, pool string) *Worker {
	w := &Worker{
		ID: id, Instance: instance, Pool: pool, CPU: 8000, Memory: 16384, fleet: f, startedAt: time.Now(), clockRate: 1,
		runs: make(map[string]*run), lastStopped: make(map[string]int), runEnded: make(chan struct{}),
	}
	if f.ClockRate != nil {
		w.clockRate = f.ClockRate()
	}
	f.workers = append(f.workers, w)
	return w
}

// Restart crashes the worker on an instance and starts it again under its ID after the given time. The registration stays meanwhile.
func (f *Fleet) Restart(instance string, after time.Duration) {
	old := f.Current(instance)
	if old == nil {
		return
	}
	old.restarting.Store(true)
	old.Crash()
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = slices.DeleteFunc(f.workers, func(w *Worker) bool { return w == old })
	f.start(old.ID, instance, old.Pool)
}

// Current returns the running worker on an instance, or nil.
func (f *Fleet) Current(instance string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current(instance)
}

func (f *Fleet) current(instance string) *Worker {
	for i := len(f.workers) - 1; i >= 0; i-- {
		if w := f.workers[i]; w.Instance == instance && !w.crashed.Load() {
			return w
		}
	}
	return nil
}

// Heartbeat renews the registrations of all running workers, and removes those of crashed ones.
func (f *Fleet) Heartbeat(sequence int) {
	f.mu.Lock()
	workers := append([]*Worker(nil), f.workers...)
	f.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		w.expireLease()
		w.mu.Unlock()
		row := Row{Table: "servers", Key: w.ID}
		if w.restarting.Load() {
			continue
		}
		if w.crashed.Load() {
			f.Store.Remove(row)
			continue
		}
		row.Value = f.registration(w, sequence)
		f.Store.Put(row)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	running := f.workers[:0]
	for _, w := range f.workers {
		if !w.crashed.Load() || w.restarting.Load() {
			running = append(running, w)
		}
	}
	f.workers = running
}

func (f *Fleet) registration(w *Worker, sequence int) []byte {
	f.mu.Lock()
	address := f.addresses[w.Instance]
	f.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": w.Pool, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": w.Memory, "gpu": 0}, "labels": f.labels(w.Instance),
		"clock_ms": w.clock().Milliseconds(), "sequence": sequence, "machine": w.Instance, "born": w.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // The map has only texts and numbers.
	}
	return b
}

// labels returns the labels of an instance: its rack is the last one.
func (f *Fleet) labels(instance string) []string {
	if f.OwnRacks {
		return []string{"only-" + instance, "a", "rack-" + instance}
	}
	return []string{"a", "r1"}
}

// ServeHTTP serves the instance interface: it lists the instances, and rejects every move and maintenance as busy.
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
			"machine": instance, "pool": "p", "state": "down", "zone": "z1", "labels": f.labels(instance),
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 16384, "gpu": 0},
		}
		if worker := f.current(instance); worker != nil {
			m["state"], m["id"] = "up", worker.ID
		}
		machines = append(machines, m)
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations of rules so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns how many runs of a job's tasks have started.
func (f *Fleet) Starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

// Started returns how many runs have started.
func (f *Fleet) Started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// Finished returns how many runs have ended.
func (f *Fleet) Finished() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished
}
