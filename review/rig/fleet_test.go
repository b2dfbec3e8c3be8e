package rig

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Service is the name of the only service.
const Service = "quotes"

// Fleet is the platform's workers, and the record of what ran on them.
type Fleet struct {
	Store *Store
	rec   *Record
	// Quiet is true if single starts and ends are not recorded.
	Quiet   bool
	Workers []*Worker

	mu        sync.Mutex
	durations map[string]time.Duration // By job.
	running   map[string]map[*run]*Worker
	doneRuns  map[string][]doneRun // The runs that ended done, by task.
	done      map[string]int       // Ended runs, by job.
	starts    map[string]int
	noted     int
	born      map[string]int64 // The last registered life, by worker.
}

func newFleet(store *Store, rec *Record) *Fleet {
	return &Fleet{
		Store: store, rec: rec, durations: make(map[string]time.Duration), running: make(map[string]map[*run]*Worker),
		doneRuns: make(map[string][]doneRun), done: make(map[string]int),
		starts: make(map[string]int), born: make(map[string]int64),
	}
}

// doneRun is a run that has ended done.
type doneRun struct {
	run int
	at  time.Time
	// noted is true once the end was taken note of.
	noted bool
	// again describes a later start of the task; empty if there is none.
	again string
}

// AddWorker starts a worker of the kind a.
func (f *Fleet) AddWorker(id, rack string, cpu int, rate float64) (*Worker, error) {
	return f.AddKind("a", id, rack, cpu, rate)
}

// AddKind starts a worker of a kind.
func (f *Fleet) AddKind(kind, id, rack string, cpu int, rate float64) (*Worker, error) {
	w := &Worker{ID: id, Machine: "m-" + id, Rack: rack, Kind: kind, CPU: cpu, Rate: rate, fleet: f}
	f.mu.Lock()
	f.Workers = append(f.Workers, w)
	f.mu.Unlock()
	return w, w.boot(0)
}

// registered notes the registration of a life, and reports whether it is its first one.
func (f *Fleet) registered(id string, born int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.born[id] != born
	f.born[id] = born
	return first
}

// Expect tells how long the tasks of a job take.
func (f *Fleet) Expect(job string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durations[job] = d
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (f *Fleet) duration(task string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.durations[jobOf(task)]
}

// runStarted records a start and checks the rule TWICE.
func (f *Fleet) runStarted(w *Worker, _ *life, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[jobOf(r.task)]++
	if !f.Quiet {
		f.rec.Add("worker %s starts %s run %d", w.ID, r.task, r.id)
	}
	for other, on := range f.running[r.task] {
		f.rec.Break("TWICE: %s run %d starts on %s while run %d, begun %.1f s ago, is at work on %s, which is up",
			r.task, r.id, w.ID, other.id, time.Since(other.began).Seconds(), on.ID)
	}
	for i := range f.doneRuns[r.task] {
		d := &f.doneRuns[r.task][i]
		if d.again != "" {
			continue
		}
		d.again = fmt.Sprintf("%s run %d starts on %s, %.3f s after run %d had ended done", r.task, r.id, w.ID, time.Since(d.at).Seconds(), d.run)
		if d.noted {
			f.rec.Break("TWICE: %s, and that end was taken note of before", d.again)
		}
	}
	if f.running[r.task] == nil {
		f.running[r.task] = make(map[*run]*Worker)
	}
	f.running[r.task][r] = w
}

func (f *Fleet) runEnded(w *Worker, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running[r.task], r)
	if how == "done" {
		f.doneRuns[r.task] = append(f.doneRuns[r.task], doneRun{run: r.id, at: time.Now()})
		f.done[jobOf(r.task)]++
	}
	if !f.Quiet {
		f.rec.Add("worker %s: %s run %d ends %s", w.ID, r.task, r.id, how)
	}
}

// endNoted records that ack_cursor has reached an end. It doesn't count as taken note of if the worker's lease has lapsed meanwhile.
func (f *Fleet) endNoted(e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noted++
	if e.how != "done" || e.lapsed {
		return
	}
	for i := range f.doneRuns[e.task] {
		d := &f.doneRuns[e.task][i]
		if d.run != e.run || d.noted {
			continue
		}
		d.noted = true
		if d.again != "" {
			f.rec.Break("TWICE: %s; that end was taken note of later", d.again)
		}
	}
}

// Done returns how many runs of a job have ended done, and Starts how many were started.
func (f *Fleet) Done(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[job]
}

// Starts returns how many runs of a job were started.
func (f *Fleet) Starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

// Running returns how many runs of a job are at work.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, runs := range f.running {
		if jobOf(task) == job {
			n += len(runs)
		}
	}
	return n
}

// Noted returns how many listed ends were taken note of.
func (f *Fleet) Noted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noted
}

// ServeHTTP serves the interface for machines; it refuses every move and upkeep as busy.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/machines" {
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	f.mu.Lock()
	workers := append([]*Worker(nil), f.Workers...)
	f.mu.Unlock()
	machines := []map[string]any{}
	for _, k := range workers {
		k.mu.Lock()
		state := "up"
		if k.life == nil || k.life.over {
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": k.Machine, "pool": Service, "state": state, "zone": "nbo-a", "labels": []string{k.Kind, k.Rack},
			"capacity": map[string]int{"cpu": k.CPU, "mem_mb": 65536, "gpu": 0}, "id": k.ID,
		})
		k.mu.Unlock()
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}
