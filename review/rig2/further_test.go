package rig2

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A job whose starts were all refused is still pending.
func TestCase11(t *testing.T) {
	const jobs = 4
	r := newRig(t)
	var unhealthy atomic.Bool
	r.fleet.refuses = func(string) bool { return unhealthy.Load() }
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	for i := range 3 {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	unhealthy.Store(trouble())
	for i := range jobs {
		if !r.submit("/q/", fmt.Sprintf("%016x", 0xc0ffee11_00+i), simpleJob("waits", 1, 300)) {
			cannotRun("a job is not accepted")
		}
	}
	accepted := time.Now()
	for time.Since(accepted) < 9*time.Second {
		time.Sleep(500 * time.Millisecond)
		begun := 0
		for i := range jobs {
			begun += min(1, len(r.fleet.of("start", fmt.Sprintf("%016x", 0xc0ffee11_00+i))))
		}
		status, body := r.call(r.nodes[0], http.MethodGet, "/q/", tenantKey, nil)
		pending, _ := body["pending"].(float64)
		if status == http.StatusOK && time.Since(accepted) > 5500*time.Millisecond && 2*int(pending) < jobs-begun {
			t.Errorf("MIXED: %d jobs are pending, the answer is %v", jobs-begun, pending)
		}
	}
}

// A wave is not done while a machine of it that stays has not begun its maintenance.
func TestCase12(t *testing.T) {
	r := newRig(t)
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	for i := range 5 {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	time.Sleep(3 * time.Second)
	r.fleet.silent.Store(trouble())
	time.Sleep(200 * time.Millisecond)
	r.fleet.add("m9", "s", "a", "r9")
	time.Sleep(300 * time.Millisecond)
	r.store.put("op", "wave/1", waveRow{Wave: 1, Machines: []string{"m1", "m9"}, DeadlineS: 20, Maximum: 1})
	r.log("operator: wave 1 of m1 and m9")
	time.Sleep(4500 * time.Millisecond)
	r.fleet.silent.Store(false)
	time.Sleep(25 * time.Second)
	status := r.store.text("status", "", "wave/1")
	r.log("check: status %s, maintenances %d", status, len(r.fleet.of("maintenance", "")))
	if strings.Contains(status, "done") && len(r.fleet.of("maintenance", "m9")) == 0 {
		t.Errorf("MIXED: the wave is said to be done, and m9 has not begun its maintenance")
	}
}

// Jobs of the same ID on two queues are two jobs.
func TestCase13(t *testing.T) {
	r := newRig(t)
	const id = "0000000000000042"
	r.fleet.taskTime = func(string, string, int) (time.Duration, string) { return 4 * time.Second, "done" }
	r.configure(1, []string{"sa", "sb"}, queue{"a", "/a/", "sa", 3}, queue{"b", "/b/", "sb", 3})
	r.fleet.add("ma", "sa", "a", "r1")
	r.fleet.add("mb", "sb", "a", "r2")
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady()
	other := "0000000000000043"
	if trouble() {
		other = id
	}
	r.submit("/a/", id, simpleJob("of a", 1, 4000))
	r.submit("/b/", other, simpleJob("of b", 1, 4000))
	time.Sleep(time.Second)
	r.state(r.nodes[0], "/b/", other)
	r.call(r.nodes[0], http.MethodDelete, "/b/"+other, tenantKey, nil)
	time.Sleep(5 * time.Second)
	if s := r.state(r.nodes[0], "/a/", id); s != "done" {
		t.Errorf("LOST: the job of a is %s", s)
	}
}

// A lasting task that needs one more machine must get it although an impossible job waits, too.
func TestCase14(t *testing.T) {
	const id, poison, finish = "00000000c0ffee14", "00000000c0ffee15", 14 * time.Second
	r := newRig(t)
	r.fleet.standby = "spare"
	r.fleet.taskTime = func(_, spec string, _ int) (time.Duration, string) {
		if spec == "lasts" {
			return 10 * time.Minute, "done"
		}
		return 100 * time.Millisecond, "done"
	}
	r.configure(1, []string{"s", "spare"}, queue{"q", "/q/", "s", 3})
	for i := range 3 {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
		r.fleet.add(fmt.Sprintf("z%d", i), "spare", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	if trouble() {
		job := simpleJob("never", 1, 300)
		job["steps"].([]map[string]any)[0]["cpu"] = 18000
		r.submit("/q/", poison, job)
	}
	lasting := simpleJob("lasts", 4, 1000)
	step := lasting["steps"].([]map[string]any)[0]
	step["anti_affinity"], step["long_running"] = 1, true
	if !r.submit("/q/", id, lasting) {
		cannotRun("the job is not accepted")
	}
	time.Sleep(finish + 6*time.Second)
	starts := len(r.fleet.of("start", id))
	r.log("check: %d of 4 tasks of the job have started", starts)
	if starts < 4 {
		t.Errorf("LOST: a task that lasts has had nothing running for 20 s, beside three machines that are off")
	}
}

// A task must not start again after as many failed runs as its queue allows, also if the queue was away for a while.
func TestCase15(t *testing.T) {
	r := newRig(t)
	const id, attempts = "00000000c0ffee16", 2
	r.fleet.taskTime = func(task, _ string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, id) {
			return 2500 * time.Millisecond, "failed"
		}
		return 100 * time.Millisecond, "done"
	}
	with := []queue{{"q", "/q/", "s", attempts}, {"other", "/other/", "s", attempts}}
	r.configure(1, []string{"s"}, with...)
	for i := range 3 {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/", "/other/")
	if !r.submit("/q/", id, simpleJob("fails", 1, 2500)) {
		cannotRun("the job is not accepted")
	}
	r.await(func() bool { return len(r.fleet.of("start", id)) == attempts }, "the last attempt starts")
	if trouble() {
		time.Sleep(300 * time.Millisecond)
		r.configure(2, []string{"s"}, with[1])
	}
	r.await(func() bool { return len(r.fleet.of("noted", id)) == attempts }, "the last end is taken note of")
	time.Sleep(time.Second)
	r.configure(3, []string{"s"}, with...)
	time.Sleep(8 * time.Second)
	r.state(r.nodes[0], "/q/", id)
	starts := r.fleet.of("start", id)
	r.log("check: %d starts, %d are allowed", len(starts), attempts)
	if len(starts) > attempts {
		t.Errorf("BUDGET: the task has started %d times, %d failed runs were taken note of before", len(starts), attempts)
	}
}
