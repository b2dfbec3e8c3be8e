package rig2

import (
	"syscall"
	"testing"
	"time"
)

// A job that is done must not run again when the store performs its transaction late and another node takes over.
func TestCase6(t *testing.T) {
	const statusS = 60
	r := newRig(t)
	const id = "00000000c0ffee06"
	lost := false
	r.store.late = func(tx transaction) time.Duration {
		if !trouble() || lost || !tx.names(id) {
			return 0
		}
		lost = true
		r.log("store: a transaction with job %s gets no answer and is performed 5 s later", id)
		return 5 * time.Second
	}
	r.configure(1, []string{"s"}, queue{"q", "/q/", "s", 3})
	r.fleet.add("m1", "s", "a", "r1")
	r.fleet.add("m2", "s", "a", "r2")
	for _, name := range []string{"n1", "n2", "n3"} {
		r.addNode(name, bounds{StatusS: statusS})
	}
	r.awaitReady("/q/")
	if !r.submit("/q/", id, simpleJob("once", 1, 300)) || !r.awaitState("/q/", id, "done", 10*time.Second) {
		cannotRun("the job is not done")
	}
	time.Sleep((statusS + 14) * time.Second)
	r.state(r.nodes[0], "/q/", id)
	r.leader().signal(syscall.SIGTERM)
	time.Sleep(14 * time.Second)
	noted := 0
	for _, e := range r.fleet.of("noted", id) {
		if e.outcome == "done" && e.acknowledged {
			noted++
		}
	}
	starts := r.fleet.of("start", id)
	r.log("check: %d starts of the task, %d ends as done taken note of", len(starts), noted)
	if noted > 0 && len(starts) > 1 {
		t.Errorf("TWICE: the task started %d times, although an end as done was taken note of", len(starts))
	}
}

// names reports whether a transaction has a row whose key is the text.
func (tx transaction) names(key string) bool {
	for _, r := range tx.Writes {
		if r.Key == key {
			return true
		}
	}
	return false
}
