package rig2

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A task must not start in a queue's pool while it runs in the pool that the queue had meanwhile.
func TestCase8(t *testing.T) {
	r := newRig(t)
	const id = "00000000c0ffee08"
	services := []string{"sa", "sb"}
	to := func(version int, service string) {
		r.configure(version, services, queue{"q", "/q/", service, 3}, queue{"qb", "/qb/", "sb", 3})
	}
	var cut atomic.Bool
	var runsOn atomic.Pointer[string]
	r.fleet.heldBack = func(machine string) bool { return cut.Load() && machine == *runsOn.Load() }
	r.fleet.taskTime = func(task, _ string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, id+".0.1.") {
			return 12 * time.Second, "done"
		}
		return 1500 * time.Millisecond, "done"
	}
	to(1, "sa")
	for i := range 8 {
		r.fleet.add(fmt.Sprintf("ma%d", i), "sa", "a", fmt.Sprintf("r%d", i/4))
		r.fleet.add(fmt.Sprintf("mb%d", i), "sb", "a", fmt.Sprintf("r%d", 2+i/4))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/", "/qb/")
	job := map[string]any{"spec": "two steps", "steps": []map[string]any{
		{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 1500},
		{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 12000, "after": []int{0}},
	}}
	if !r.submit("/q/", id, job) {
		cannotRun("the job is not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	to(2, "sb")
	r.await(func() bool { return len(r.fleet.of("start", id+".0.1.")) > 0 }, "the second step starts")
	to(3, "sa")
	time.Sleep(3 * time.Second)
	if trouble() {
		on := r.fleet.of("start", id+".0.1.")[0].worker
		r.fleet.mu.Lock()
		for name, m := range r.fleet.machines {
			if m.worker != nil && m.worker.id == on {
				runsOn.Store(&name)
			}
		}
		r.fleet.mu.Unlock()
		if runsOn.Load() == nil {
			cannotRun("the worker of the second step is not known")
		}
		cut.Store(true)
		r.log("network: the worker of %s is cut off for 2 s", *runsOn.Load())
		r.leader().signal(syscall.SIGTERM)
		time.Sleep(2 * time.Second)
		cut.Store(false)
	}
	time.Sleep(14 * time.Second)
	r.checkOverlaps(id)
}

// await waits until the condition holds.
func (r *rig) await(condition func() bool, what string) {
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cannotRun("it is not seen that %s", what)
}

// checkOverlaps fails the test if two runs of a task of the job were at work at the same time.
func (r *rig) checkOverlaps(job string) {
	type id struct {
		worker, task string
		run          int
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	working := make(map[id]bool)
	for _, e := range r.fleet.events {
		if !strings.HasPrefix(e.task, job) {
			continue
		}
		this := id{e.worker, e.task, e.run}
		switch e.what {
		case "start":
			for o := range working {
				if o.task == e.task {
					r.t.Errorf("TWICE: run %d of %s starts on %s while run %d is at work on %s", e.run, e.task, e.worker, o.run, o.worker)
					r.log("check: run %d of %s starts on %s while run %d is at work on %s", e.run, e.task, e.worker, o.run, o.worker)
				}
			}
			working[this] = true
		case "end", "gone":
			delete(working, this)
		}
	}
}
