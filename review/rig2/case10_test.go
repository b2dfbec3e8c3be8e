package rig2

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// No maintenance may begin while as many instances of its wave are down as may be, whichever node has ordered it.
func TestCase10(t *testing.T) {
	r := newRig(t)
	const id = "00000000c0ffee10"
	var late atomic.Pointer[string]
	r.fleet.lateOrder = func(machine string) time.Duration {
		if !trouble() || !late.CompareAndSwap(nil, &machine) {
			return 0
		}
		return 2100 * time.Millisecond
	}
	r.fleet.taskTime = func(_, spec string, _ int) (time.Duration, string) {
		if spec == "long" {
			return 6 * time.Second, "done"
		}
		return 100 * time.Millisecond, "done"
	}
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	for i := range 5 {
		r.fleet.add(fmt.Sprintf("m%d", i), "s", "a", fmt.Sprintf("r%d", i))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: 120})
	}
	r.awaitReady("/q/")
	time.Sleep(5 * time.Second)
	r.log("operator: wave 1 of m1 and m2, one at once")
	r.store.put("op", "wave/1", waveRow{Wave: 1, Machines: []string{"m1", "m2"}, DeadlineS: 20, Maximum: 1})
	if trouble() {
		r.await(func() bool { return late.Load() != nil }, "a maintenance is ordered")
		job := simpleJob("long", 1, 6000)
		job["steps"].([]map[string]any)[0]["requires"] = "r" + strings.TrimPrefix(*late.Load(), "m")
		r.submit("/q/", id, job)
		r.leader().signal(syscall.SIGTERM)
	}
	time.Sleep(25 * time.Second)
	n, over := len(r.fleet.of("maintenance", "")), r.fleet.of("over maximum", "")
	r.log("check: %d maintenances, %d above the maximum", n, len(over))
	for _, e := range over {
		t.Errorf("LIMIT: the maintenance of %s begins while another machine of the wave is down", e.task)
	}
	if n == 0 {
		cannotRun("no maintenance has begun")
	}
}
