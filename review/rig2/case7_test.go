package rig2

import (
	"fmt"
	"testing"
	"time"
)

// A job that was accepted must go on when its queue is replaced by another one with the same host, prefix and service.
func TestCase7(t *testing.T) {
	const (
		id        = "00000000c0ffee07"
		workers   = 3
		finish    = 14 * time.Second
		idleLimit = 3 * time.Second
	)
	r := newRig(t)
	r.fleet.taskTime = func(string, string, int) (time.Duration, string) { return 1500 * time.Millisecond, "done" }
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	for i := range workers {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	job := map[string]any{"spec": "two steps", "steps": []map[string]any{
		{"count": 2, "cpu": taskCPU, "mem_mb": 256, "estimate_ms": 1500},
		{"count": 2, "cpu": taskCPU, "mem_mb": 256, "estimate_ms": 1500, "after": []int{0}},
	}}
	if !r.submit("/q/", id, job) {
		cannotRun("the job is not accepted")
	}
	r.await(func() bool { return len(r.fleet.of("start", id)) > 0 }, "the job starts")
	name := "q"
	if trouble() {
		name = "q-new"
	}
	r.configure(2, []string{"s"}, queue{name, "/q/", "s", 3})
	time.Sleep(3 * time.Second)
	if !r.submit("/q/", "00000000c0ffee17", simpleJob("after the change", 1, 1500)) {
		cannotRun("no job is accepted after the change")
	}
	end := time.Now()
	time.Sleep(finish + 2*idleLimit)
	from, to := end.Add(finish), time.Now()
	state, idle, most := r.state(r.nodes[0], "/q/", id), r.fleet.longestIdle(id, from, to), r.fleet.mostInUse(from)*taskCPU
	r.log("check: the job is %s, nothing of it has run for %v, %d tasks have ended, at most %d of %d thousandths of a core were in use",
		state, idle, len(r.fleet.of("end", id)), most, workers*16000)
	r.log("check: the job that was handed in after the change is %s", r.state(r.nodes[0], "/q/", "00000000c0ffee17"))
	if state != "done" && idle >= idleLimit && most < workers*16000/2 {
		t.Errorf("LOST: the job is %s and has had nothing running for %v, and at most %d of %d thousandths of a core are in use",
			state, idle, most, workers*16000)
	}
}
