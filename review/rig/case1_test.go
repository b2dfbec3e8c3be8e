package rig

import (
	"errors"
	"fmt"
	"time"
)

// cutWorker cuts a worker off for longer than its lease, and then looks whether it gets work again.
func cutWorker(w *World, trouble bool) error {
	const (
		job      = "5c0e7a21d94b36f8"
		tasks    = 2
		workers  = 6
		taskTime = 8 * time.Second
		cutTime  = 5500 * time.Millisecond
		// finish is finish_s, counted from the end of the cut; nothing else is handed in meanwhile.
		finish = 14 * time.Second
	)
	var special *Worker
	for i := range workers {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		k, err := w.Fleet.AddKind(kind, fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("r1-%d", i/4), 16000, 1)
		if err != nil {
			return err
		}
		if i == 0 {
			special = k
		}
	}
	if err := w.Ready(); err != nil {
		return err
	}
	// Only the first worker has the label that the job requires.
	body := map[string]any{"spec": "cut", "steps": []map[string]any{{
		"count": tasks, "cpu": 2000, "mem_mb": 256, "estimate_ms": taskTime.Milliseconds(), "requires": special.Kind,
	}}}
	if !w.Submit(job, taskTime, body, 5) {
		return errors.New("the job was not accepted")
	}
	for deadline := time.Now().Add(5 * time.Second); special.Running() < tasks; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the job does not run")
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		special.Cut(cutTime)
		time.Sleep(cutTime)
	}
	time.Sleep(finish)
	if !w.AwaitState(job, "done", 20*time.Second) {
		w.checkIdle(job, tasks)
	}
	w.Record.Add("job %s: %d runs were started for %d tasks", job, w.Fleet.Starts(job), tasks)
	return nil
}
