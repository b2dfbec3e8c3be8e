package rig

import (
	"errors"
	"os"
	"time"
)

// restartedWorker restarts a worker without runs under its ID, and hands a job in before the worker has registered again.
func restartedWorker(w *World, trouble bool) error {
	const (
		job      = "5c0e7a21d94b36f8"
		taskTime = 12 * time.Second
		// restartTime is how long the worker's process is away.
		restartTime = 100 * time.Millisecond
		// registerAfter is when the worker writes its first registration after its start; heartbeat_ms is 1,500.
		registerAfter = 100 * time.Millisecond
		// submitAfter is when the job comes after the start of the worker.
		submitAfter = 20 * time.Millisecond
		// finish is finish_s, which is longer than the job takes; nothing else is handed in meanwhile.
		finish = 14 * time.Second
	)
	var first *Worker
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"} {
		k, err := w.Fleet.AddWorker(id, "r1-"+id[len(id)-1:], 16000, 1)
		if err != nil {
			return err
		}
		if first == nil {
			first = k
		}
	}
	if err := w.Ready(); err != nil {
		return err
	}
	warm := map[string]any{"spec": "warm", "steps": []map[string]any{{"count": 24, "cpu": 2000, "mem_mb": 256, "estimate_ms": 1000}}}
	if !w.Submit("00000000000000a1", time.Second, warm, 5) || !w.AwaitState("00000000000000a1", "done", 15*time.Second) {
		return errors.New("the first job has not run")
	}
	time.Sleep(6 * time.Second)
	if trouble {
		first.Crash()
		time.Sleep(restartTime)
		if err := first.Restart(registerAfter); err != nil {
			return err
		}
		time.Sleep(submitAfter)
	}
	step := map[string]any{"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": taskTime.Milliseconds()}
	// The data of the job is on the rack of the first worker. NO_AFFINITY leaves that out: then the rule TWICE is broken.
	if os.Getenv("NO_AFFINITY") == "" {
		step["affinity"] = first.Rack
	}
	body := map[string]any{"spec": "restart", "steps": []map[string]any{step}}
	if !w.Submit(job, taskTime, body, 5) {
		return errors.New("the job was not accepted")
	}
	time.Sleep(finish)
	if !w.AwaitState(job, "done", 20*time.Second) {
		w.checkIdle(job, 4)
	}
	w.Record.Add("job %s: %d runs were started for 4 tasks", job, w.Fleet.Starts(job))
	return nil
}
