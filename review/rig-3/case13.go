package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

func init() { cases["13"] = lateHold }

const (
	flowOfTasks = 120                    // Jobs a second, with eight tasks each.
	lateBy      = 5 * time.Second        // How much later a call is carried out.
	restartTime = 300 * time.Millisecond // How long the worker is away.
)

// lateHold sends a steady flow of short jobs. One call to one worker gets no answer and is carried out later. In between the worker
// starts again under its ID.
func lateHold(ctx context.Context, rec *record, dir string, trouble bool) (int, error) {
	late, restarts := trouble && os.Getenv("SKIP_LATE") == "", trouble && os.Getenv("SKIP_RESTART") == ""
	const machine = "m-00"
	var armed atomic.Bool
	caught := make(chan struct{}, 1)
	s, err := newSystemWith(ctx, rec, dir, 3, 8, []route{{"quick", "/quick/"}}, func(f *fleet) error {
		p, err := f.addFront(machine)
		if err != nil {
			return err
		}
		p.delay = func(r *http.Request, o body) time.Duration {
			if r.URL.Path != wire["hold"] || o.number(wire["ack"]) == 0 || !armed.CompareAndSwap(true, false) {
				return 0
			}
			caught <- struct{}{}
			if !late {
				return 0
			}
			rec.write("a hold with the cursor %d gets no answer and is carried out %v later", o.number(wire["ack"]), lateBy)
			return lateBy
		}
		return nil
	})
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	sleep(ctx, 5*time.Second)
	traffic, end := context.WithTimeout(ctx, 30*time.Second)
	defer end()
	var accepted atomic.Int64
	go func() {
		sleep(traffic, 12*time.Second)
		armed.Store(true)
		select {
		case <-caught:
		case <-traffic.Done():
			return
		}
		if !restarts {
			return
		}
		if err := s.fleet.restart(machine, restartTime); err != nil {
			rec.write("restart: %v", err)
		}
	}()
	t := time.NewTicker(time.Second / flowOfTasks)
	defer t.Stop()
	for traffic.Err() == nil {
		<-t.C
		go func() {
			id := jobID()
			r := s.submit(traffic, "/quick/"+id, body{"spec": "40-120", "steps": []body{{"count": 8, "cpu": 1000, "mem_mb": 64, "estimate_ms": 80}}})
			if r.status == http.StatusOK {
				accepted.Add(1)
			}
		}()
	}
	sleep(ctx, 14*time.Second)
	s.fleet.mu.Lock()
	again := s.fleet.again
	s.fleet.mu.Unlock()
	for _, a := range again {
		rec.write("started again: %s", a)
	}
	rec.write("%d jobs were accepted; %d tasks were started after their end was taken note of", accepted.Load(), len(again))
	if accepted.Load() < 500 {
		return notRun, fmt.Errorf("only %d jobs were accepted", accepted.Load())
	}
	if len(again) > 0 {
		return broken, nil
	}
	return held, nil
}
