package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["14"] = pendingAfterRefusals }

const (
	waitingJobs  = 10
	unhealthyFor = 6500 * time.Millisecond
	// countAfter is when a job that has not begun has to count as pending: visible_ms and 2 s.
	countAfter = 5 * time.Second
)

// pendingAfterRefusals hands in jobs that one worker alone may run, and asks how many jobs are pending. The worker is unhealthy for a
// while, and refuses all starts.
func pendingAfterRefusals(ctx context.Context, rec *record, dir string, trouble bool) (int, error) {
	const special = "m-03"
	var unhealthy atomic.Bool
	s, err := newSystemWith(ctx, rec, dir, 3, 8, []route{{"quick", "/quick/"}}, func(f *fleet) error {
		f.kinds = map[string]string{special: "b"}
		f.refuses = func(machine string) bool { return machine == special && unhealthy.Load() }
		return nil
	})
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	sleep(ctx, 5*time.Second)
	if trouble {
		unhealthy.Store(true)
		rec.write("the worker on %s is unhealthy for %v", special, unhealthyFor)
		time.AfterFunc(unhealthyFor, func() {
			unhealthy.Store(false)
			rec.write("the worker on %s is healthy again", special)
		})
	}
	var ids []string
	for range waitingJobs {
		id := jobID()
		r := s.submit(ctx, "/quick/"+id, body{"spec": "300", "steps": []body{{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 300, "requires": "b"}}})
		if r.status != http.StatusOK {
			return notRun, fmt.Errorf("a job was not accepted: %d %s %v", r.status, r.text, r.err)
		}
		ids = append(ids, id)
	}
	last := time.Now()
	wrong := 0
	for time.Since(last) < 12*time.Second && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		for _, n := range s.nodes {
			// Jobs that begin while the question is asked don't count.
			r := s.callNode(ctx, n, http.MethodGet, "/quick/", nil)
			waiting := s.notBegun(ids)
			var b body
			if r.status != http.StatusOK || json.Unmarshal([]byte(r.text), &b) != nil {
				rec.write("GET /quick/ at %s: %d %s %v", n.Name, r.status, r.text, r.err)
				continue
			}
			pending := b.number("pending")
			rec.write("GET /quick/ at %s, %.1f s after the last job: %s; %d jobs have not begun", n.Name, time.Since(last).Seconds(), r.text, waiting)
			if time.Since(last) > countAfter+200*time.Millisecond && 2*int(pending) < waiting {
				wrong++
			}
		}
	}
	if n := s.notBegun(ids); n > 0 {
		return notRun, fmt.Errorf("%d jobs have not begun at the end", n)
	}
	rec.write("%d answers gave under half of the pending jobs", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// notBegun counts the jobs of which no task has started.
func (s *system) notBegun(ids []string) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, id := range ids {
		if s.fleet.starts[id+".0.0.0"] == 0 {
			n++
		}
	}
	return n
}
