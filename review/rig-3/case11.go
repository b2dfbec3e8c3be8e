package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["11"] = largeProgress }

const (
	batchTasks = 6000
	smallRate  = 40 // Jobs a second.
)

// largeProgress hands in one large job whose tasks save their progress, crashes the workers of one rack, and checks that the
// small jobs which come afterwards go on.
func largeProgress(ctx context.Context, rec *record, dir string, trouble bool) (int, error) {
	s, err := newSystem(ctx, rec, dir, 3, 8, []route{{"batch", "/batch/"}, {"quick", "/quick/"}})
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	sleep(ctx, 5*time.Second)
	batch := jobID()
	r := s.submit(ctx, "/batch/"+batch, body{"spec": "150000-200000 saves", "steps": []body{{
		"count": batchTasks, "cpu": 8, "mem_mb": 32, "estimate_ms": 170000, "checkpointing": true,
	}}})
	if r.status != http.StatusOK {
		return notRun, fmt.Errorf("the large job was not accepted: %d %s %v", r.status, r.text, r.err)
	}
	for range 100 {
		if s.runsOf(batch) >= batchTasks*95/100 {
			break
		}
		sleep(ctx, 200*time.Millisecond)
	}
	rec.write("%d runs of the large job", s.runsOf(batch))
	sleep(ctx, 3*time.Second)
	if trouble {
		rack := s.busiestRack()
		rec.write("rack %s crashes", rack)
		var machines []string
		s.fleet.mu.Lock()
		for m, k := range s.fleet.racks {
			if k == rack {
				machines = append(machines, m)
			}
		}
		s.fleet.mu.Unlock()
		sort.Strings(machines)
		for _, m := range machines {
			s.fleet.crash(m)
		}
		sleep(ctx, 5*time.Second)
		for _, m := range machines {
			if err := s.fleet.add(m, rack); err != nil {
				return notRun, err
			}
		}
	} else {
		sleep(ctx, 5*time.Second)
	}
	// Small jobs come once everything is calm again.
	sleep(ctx, 8*time.Second)
	rec.write("%d runs of the large job; the small jobs begin", s.runsOf(batch))
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	traffic, end := context.WithTimeout(ctx, 35*time.Second)
	defer end()
	t := time.NewTicker(time.Second / smallRate)
	for traffic.Err() == nil {
		<-t.C
		wg.Go(func() {
			id := jobID()
			r := s.submit(traffic, "/quick/"+id, body{"spec": "150", "steps": []body{
				{"count": 4, "cpu": 100, "mem_mb": 64, "estimate_ms": 150}, {"count": 4, "cpu": 100, "mem_mb": 64, "estimate_ms": 150, "after": []int{0}},
			}})
			if r.status == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rec.write("the traffic has ended; %d small jobs were accepted", len(accepted))
	sleep(ctx, 14*time.Second)
	// A job whose second step's turn has come has to run or to be done within 3 s.
	stuck := s.waitingFor(accepted, 4, 3*time.Second)
	rec.write("%d small jobs had nothing running for 3 s though the turn of their tasks had come; %.1f of %d cores in use", len(stuck), s.coresInUse(batch), 8*workerCPU/1000)
	sleep(ctx, 3*time.Second)
	still := s.waitingFor(stuck, 4, 6*time.Second)
	shown := 0
	for i, id := range still {
		if i >= 20 {
			break
		}
		state := s.state(ctx, "/quick/"+id)
		rec.write("GET /quick/%s: %s; %s", id, state, s.history(id))
		if state != "done" {
			shown++
		}
	}
	s.fleet.mu.Lock()
	for _, w := range s.fleet.workers {
		w.mu.Lock()
		rec.write("worker %s: %d runs, %d ends listed, taken note of up to %d of %d", w.id, len(w.runs), len(w.ended), w.acked, w.last)
		w.mu.Unlock()
	}
	s.fleet.mu.Unlock()
	rec.write("%d small jobs are stuck; %d of those asked for are not done", len(still), shown)
	if len(accepted) < 100 {
		return notRun, fmt.Errorf("only %d small jobs were accepted", len(accepted))
	}
	if len(still) > 0 && shown > 0 {
		return broken, nil
	}
	return held, nil
}

// runsOf counts the running tasks of a job.
func (s *system) runsOf(job string) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for t := range s.fleet.running {
		if strings.HasPrefix(t, job+".") {
			n++
		}
	}
	return n
}

func (s *system) coresInUse(batch string) float64 {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for t := range s.fleet.running {
		if strings.HasPrefix(t, batch+".") {
			n += 8
		} else {
			n += 100
		}
	}
	return float64(n) / 1000
}

// busiestRack returns the rack whose workers have the most runs.
func (s *system) busiestRack() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	runs := make(map[string]int)
	best := ""
	for m, w := range s.fleet.workers {
		w.mu.Lock()
		runs[s.fleet.racks[m]] += len(w.runs)
		w.mu.Unlock()
	}
	for r := range runs {
		if best == "" || runs[r] > runs[best] {
			best = r
		}
	}
	return best
}

// waitingFor returns the jobs of two steps of which no task runs, whose first step has been done for longer than the given time and whose
// second step has a task that has not ended.
func (s *system) waitingFor(jobs []string, width int, d time.Duration) []string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var out []string
	for _, id := range jobs {
		var last time.Time
		turn, open, running := true, false, false
		for step := range 2 {
			for i := range width {
				t := fmt.Sprintf("%s.0.%d.%d", id, step, i)
				at, done := s.fleet.done[t]
				running = running || s.fleet.running[t] > 0
				if step == 0 {
					turn = turn && done
				} else {
					open = open || !done
				}
				if at.After(last) {
					last = at
				}
			}
		}
		if turn && open && !running && time.Since(last) > d {
			out = append(out, id)
		}
	}
	return out
}

// history tells what ran of a job.
func (s *system) history(id string) string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var out []string
	for t, at := range s.fleet.done {
		if strings.HasPrefix(t, id+".") {
			out = append(out, fmt.Sprintf("%s done at %.3f", t[17:], at.Sub(began).Seconds()))
		}
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
