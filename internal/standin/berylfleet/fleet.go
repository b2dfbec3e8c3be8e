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

// Fleet is the set of workers, the instance interface and the record of what ran; NewFleet makes one.
type Fleet struct {
	Store *Store

	mu      sync.Mutex
	workers []*Worker
	// workerCount counts the workers that have been started, for their IDs.
	workerCount int
	// addresses holds the address of each instance.
	addresses map[string]string
	// needs holds the processor (thousandths of a core) and memory (MB) of each task, by job.
	needs map[string][2]int
	// runningOn holds the worker on which a task runs, by task.
	runningOn map[string]*Worker
	// acknowledgedDone holds the tasks whose completion was acknowledged.
	acknowledgedDone map[string]bool
	// starts counts the started runs, by job.
	starts map[string]int
	// started and finished count the started runs, and the runs that have ended.
	started, finished int
	violations        []string
}

// NewFleet returns a fleet without workers.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		Store: store, addresses: make(map[string]string), needs: make(map[string][2]int), runningOn: make(map[string]*Worker),
		acknowledgedDone: make(map[string]bool), starts: make(map[string]int),
	}
}

// Expect announces a job and what each of its tasks needs, for the checks of starts and capacities.
func (f *Fleet) Expect(job string, cpu, memory int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs[job] = [2]int{cpu, memory}
}

// Add starts a new worker on an instance, and records the address at which the instance is reached.
func (f *Fleet) Add(instance, pool, address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerCount++
	w := &Worker{
		ID: fmt.Sprintf("i-%04d", f.workerCount), Instance: instance, Pool: pool, CPU: 8000, Memory: 16384, fleet: f,
		startedAt: time.Now(),
		runs:      make(map[string]*run), lastStopped: make(map[string]int), runEnded: make(chan struct{}),
	}
	f.workers = append(f.workers, w)
	f.addresses[instance] = address
	return w
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
		if !w.crashed.Load() {
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
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": w.Memory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clock_ms": w.clock().Milliseconds(), "sequence": sequence, "machine": w.Instance, "born": w.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // The map has only texts and numbers.
	}
	return b
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
			"machine": instance, "pool": "p", "state": "down", "zone": "z1", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 16384, "gpu": 0},
		}
		if worker := f.current(instance); worker != nil {
			m["state"], m["id"] = "up", worker.ID
		}
		machines = append(machines, m)
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

// duration derives a task's run time from its name; it is between 0.1 and 0.6 s.
func (f *Fleet) duration(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // A hash never fails.
	return 100*time.Millisecond + time.Duration(h.Sum32()%500)*time.Millisecond
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// recordStart records a start and checks the rules for it. The caller holds the lock of the worker.
func (f *Fleet) recordStart(w *Worker, o order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job := jobOf(o.Task)
	f.starts[job]++
	f.started++
	if other := f.runningOn[o.Task]; other != nil {
		f.addViolation("task %s run %d starts on %s while it runs on %s", o.Task, o.RunID, w.ID, other.ID)
	}
	if f.acknowledgedDone[o.Task] {
		f.addViolation("task %s run %d starts after its end was acknowledged", o.Task, o.RunID)
	}
	if _, ok := f.needs[job]; !ok {
		f.addViolation("task %s starts, and nobody has submitted its job", o.Task)
	}
	f.runningOn[o.Task] = w
	cpu, memory := 0, 0
	for task := range w.runs {
		n := f.needs[jobOf(task)]
		cpu, memory = cpu+n[0], memory+n[1]
	}
	if cpu > w.CPU || memory > w.Memory {
		f.addViolation("worker %s has %d of %d cpu and %d of %d MB taken", w.ID, cpu, w.CPU, memory, w.Memory)
	}
}

// recordEnd records that a run is no longer on the worker.
func (f *Fleet) recordEnd(w *Worker, r *run, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished++
	if f.runningOn[r.task] == w {
		delete(f.runningOn, r.task)
	}
}

// recordAcknowledgement records that the scheduling node has stored the outcome of a run. A task that is done must not
// start again.
func (f *Fleet) recordAcknowledgement(e endedRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.outcome == "done" {
		f.acknowledgedDone[e.task] = true
	}
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
