package rig2

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A task must not start again after as many failed runs as its queue allows, also if the queue was away for a while.
func TestCase10(t *testing.T) {
	r := newRig(t)
	const id, attempts = "00000000c0ffee10", 2
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
