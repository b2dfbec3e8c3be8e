// Command case-5 freezes the scheduling node while more than 500 short tasks end on one worker.
package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"review/rig"
)

const (
	job        = "5c0e7a21d94b36f8"
	taskTime   = 1300 * time.Millisecond
	tasks      = 4000
	freezeTime = 4 * time.Second
)

func main() {
	rig.Main("review/5/record.txt", 3, run)
}

func run(w *rig.World, trouble bool) error {
	w.Fleet.Quiet = true
	k, err := w.Fleet.AddWorker("i-7f3a91c1", "r1-1", 16000, 1)
	if err != nil {
		return err
	}
	if _, err := w.Fleet.AddWorker("i-7f3a91c2", "r1-2", 16000, 1); err != nil {
		return err
	}
	if err := w.Ready(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	body := map[string]any{"spec": "many", "steps": []map[string]any{{"count": tasks, "cpu": 10, "mem_mb": 20, "estimate_ms": taskTime.Milliseconds()}}}
	if !w.Submit(job, taskTime, body, 5) {
		return errors.New("the job was not accepted")
	}
	began := time.Now()
	for k.Running() < 900 && time.Since(began) < taskTime-50*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	if k.Running() < 560 {
		return fmt.Errorf("only %d tasks run on the worker", k.Running())
	}
	w.Record.Add("%v after the answer the first worker has %d runs", time.Since(began).Round(time.Millisecond), k.Running())
	if trouble {
		leader := w.Leader()
		leader.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		leader.Signal(syscall.SIGCONT)
	}
	w.AwaitState(job, "done", 40*time.Second)
	w.Record.Add("job %s: %d runs were started for %d tasks, %d have ended done", job, w.Fleet.Starts(job), tasks, w.Fleet.Done(job))
	return nil
}
