package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["12"] = endedJobsStay }

const (
	flowRate = 700             // Jobs a second.
	outage   = 2 * time.Second // How long the store answers 503.
)

// endedJobsStay sends a steady flow of jobs. While the store turns transactions away, some clients leave and cancel the job that they have
// not had an answer for. Afterwards everything is calm, and jobs have to go on being accepted.
func endedJobsStay(ctx context.Context, rec *record, dir string, trouble bool) (int, error) {
	statusS = 20
	s, err := newSystem(ctx, rec, dir, 3, 8, []route{{"quick", "/quick/"}})
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	var refusing atomic.Bool
	s.store.refuse = refusing.Load
	sleep(ctx, 5*time.Second)
	traffic, end := context.WithTimeout(ctx, 104*time.Second)
	defer end()
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			refusing.Store(true)
			rec.write("the store answers transactions with 503")
			time.AfterFunc(outage, func() {
				refusing.Store(false)
				rec.write("the store is back")
			})
		})
	}
	var mu sync.Mutex
	counts := make(map[string]int)
	total := make(map[string]int)
	count := func(r reply) {
		mu.Lock()
		defer mu.Unlock()
		k := fmt.Sprint(r.status)
		if i := strings.Index(r.text, `"reason":"`); i >= 0 {
			k += " " + strings.SplitN(r.text[i+10:], `"`, 2)[0]
		}
		counts[k]++
		total[k]++
	}
	go func() {
		for traffic.Err() == nil {
			sleep(traffic, time.Second)
			mu.Lock()
			rec.write("answers in the last second: %v; rows in the store: %d", counts, s.store.count())
			counts = make(map[string]int)
			mu.Unlock()
		}
	}()
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / flowRate)
	defer t.Stop()
	for traffic.Err() == nil {
		<-t.C
		wg.Go(func() {
			id := jobID()
			post, leave := context.WithCancel(traffic)
			defer leave()
			if refusing.Load() && rand.N(3) == 0 {
				// The client leaves, and cancels its job.
				wg.Go(func() {
					sleep(traffic, time.Duration(20+rand.IntN(280))*time.Millisecond)
					if post.Err() != nil {
						return
					}
					leave()
					r := s.call(traffic, http.MethodDelete, "/quick/"+id, nil)
					rec.write("left POST %s without an answer, DELETE: %d %s", id, r.status, r.text)
				})
			}
			r := s.call(post, http.MethodPost, "/quick/"+id, body{"spec": "30", "steps": []body{{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 30}}})
			// What a client gave up early isn't owed.
			if traffic.Err() == nil && post.Err() == nil {
				count(r)
			}
		})
	}
	wg.Wait()
	owed, accepted := 0, total["200"]
	for _, n := range total {
		owed += n
	}
	rec.write("all answers: %v", total)
	rec.write("%d of %d submissions were refused or failed (%.0f %%)", owed-accepted, owed, 100*float64(owed-accepted)/float64(max(owed, 1)))
	if accepted < 1000 {
		return notRun, fmt.Errorf("only %d jobs were accepted", accepted)
	}
	// The gate allows 60 %.
	if 10*(owed-accepted) > 6*owed {
		return broken, nil
	}
	return held, nil
}

// count returns the number of rows of the system's own tables.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table != "servers" && r.Table != "op" {
			n++
		}
	}
	return n
}
