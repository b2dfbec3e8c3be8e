package rig2

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// One job with many overdue times must not keep the other jobs from running.
func TestCase9(t *testing.T) {
	const (
		big       = "00000000c0ffee09"
		workers   = 4
		watched   = 6
		steps     = 8
		finish    = 14 * time.Second
		idleLimit = 3 * time.Second
	)
	r := newRig(t)
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	for i := range workers {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	r.fleet.taskTime = func(string, string, int) (time.Duration, string) { return 400 * time.Millisecond, "done" }
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	times, interval := 10, time.Second
	first := time.Now()
	if trouble() {
		times = 86_400
		first = first.Add(-time.Duration(times) * interval)
	}
	chain := map[string]any{"spec": "chain"}
	var list []map[string]any
	for i := range steps {
		step := map[string]any{"count": 1, "cpu": taskCPU, "mem_mb": 256, "estimate_ms": 400}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	chain["steps"] = list
	var accepted []string
	for i := range watched {
		id := fmt.Sprintf("%016x", 0xb000+i)
		if !r.submit("/q/", id, chain) {
			cannotRun("a job is not accepted")
		}
		accepted = append(accepted, id)
	}
	job := simpleJob("every second", 10, 400)
	job["repeat_count"], job["first_ms"], job["interval_ms"] = times, first.UnixMilli(), interval.Milliseconds()
	r.submit("/q/", big, job)
	end := time.Now()
	time.Sleep(finish + 2*idleLimit)
	// The rule asks for the jobs finish_s after the end of the traffic.
	from, to := end.Add(finish), time.Now()
	for _, id := range accepted {
		state, began := "", time.Now()
		for i := 0; i < len(r.nodes) && state != "done" && state != "running" && state != "queued"; i++ {
			state = r.state(r.nodes[i], "/q/", id)
		}
		switch gap := r.fleet.longestIdle(id, from, to); {
		case state == "done":
		case state != "running" && state != "queued":
			t.Errorf("LOST: the state of job %s is not answered within %v: %s", id, time.Since(began), state)
		case gap >= idleLimit && r.fleet.mostInUse(from)*taskCPU < workers*16000/2:
			t.Errorf("LOST: job %s has had nothing running for %v, and at most %d of %d thousandths of a core are in use",
				id, gap, r.fleet.mostInUse(from)*taskCPU, workers*16000)
		}
		r.log("check: job %s is %s, %d of %d steps done, nothing running for %v", id, state, len(r.fleet.of("end", id)), steps, r.fleet.longestIdle(id, from, to))
	}
	r.log("check: at most %d thousandths of a core were in use, of %d", r.fleet.mostInUse(from)*taskCPU, workers*16000)
	for _, n := range r.nodes {
		n.mu.Lock()
		r.log("check: %s took up to %d MB and was ended %d times because of its memory", n.name, n.peakMB, n.memoryEnds)
		n.mu.Unlock()
	}
}

// longestIdle returns the longest time between both times in which no run of the job was at work.
func (f *fleet) longestIdle(job string, from, to time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, idle, since := 0, time.Duration(0), from
	for _, e := range f.events {
		if !strings.HasPrefix(e.task, job) {
			continue
		}
		at := e.at
		if at.Before(from) {
			at = from
		}
		switch e.what {
		case "start":
			if n++; n == 1 {
				idle = max(idle, at.Sub(since))
			}
		case "end", "gone":
			if n--; n == 0 {
				since = at
			}
		}
	}
	if n == 0 {
		idle = max(idle, to.Sub(since))
	}
	return idle
}

// mostInUse returns the largest number of runs at work at once since the given time.
func (f *fleet) mostInUse(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, most := 0, 0
	for _, e := range f.events {
		switch e.what {
		case "start":
			n++
		case "end", "gone":
			n--
		}
		if e.at.After(since) {
			most = max(most, n)
		}
	}
	return most
}
