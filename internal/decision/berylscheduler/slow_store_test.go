package berylscheduler

import (
	"container/heap"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// timedEvent is an event and the time at which it reaches the scheduler.
type timedEvent struct {
	at    time.Time
	event Event
}

type timedEvents []timedEvent

func (q timedEvents) Len() int           { return len(q) }
func (q timedEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timedEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timedEvents) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *timedEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// serialStore carries out transactions one after another, as the users' platform does within a part, and answers after some
// latency. A transaction stays in its queue after the caller has stopped waiting for the answer.
type serialStore struct {
	harness *harness
	// processingTime is how long one transaction takes, latency how long its answer takes to arrive.
	processingTime, latency time.Duration
	// timeout is how long the caller waits for an answer: at least six times as long as the slowest answer so far took, doubled
	// for each time-out in a row, up to 1.5 s.
	timeout        time.Duration
	timeoutsInARow int
	busyUntil      time.Time
	version        int64
	rows           map[string]int64
	events         timedEvents
}

func (s *serialStore) process() {
	for _, c := range s.harness.commits {
		s.busyUntil = laterTime(s.busyUntil, s.harness.now).Add(s.processingTime)
		answer, timeout := s.busyUntil.Add(s.latency), s.harness.now.Add(min(s.timeout<<min(s.timeoutsInARow, 4), 1500*time.Millisecond))
		err := s.execute(c.Transaction)
		e := Committed{Batch: c.Batch, Version: s.version, Err: err}
		if timeout.Before(answer) {
			answer, e.Err = timeout, &beryllatch.UnknownOutcomeError{Err: fmt.Errorf("no answer")}
		} else {
			s.timeout = max(s.timeout, 6*answer.Sub(s.harness.now))
		}
		heap.Push(&s.events, timedEvent{answer, e})
	}
	s.harness.commits = nil
}

func (s *serialStore) execute(tx beryllatch.RowTransaction) error {
	conflict := &beryllatch.RowConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		version := s.rows[c.Table+"/"+c.Key]
		if c.Table == DutyTable {
			version = c.Version
		}
		failed = failed || version != c.Version
		if version != 0 {
			conflict.Rows = append(conflict.Rows, beryllatch.DataRow{Table: c.Table, Part: c.Part, Key: c.Key, Version: version})
		}
	}
	if failed {
		return conflict
	}
	s.version++
	for _, r := range tx.Puts {
		s.rows[r.Table+"/"+r.Key] = s.version
	}
	for _, r := range tx.Deletes {
		delete(s.rows, r.Table+"/"+r.Key)
	}
	return nil
}

// run advances the clock by d and submits a job every interval.
func (s *serialStore) run(d, interval time.Duration) (submitted int) {
	end, next := s.harness.now.Add(d), s.harness.now
	for s.harness.now.Before(end) {
		s.harness.now = s.harness.now.Add(10 * time.Millisecond)
		for len(s.events) > 0 && !s.events[0].at.After(s.harness.now) {
			e := heap.Pop(&s.events).(timedEvent).event
			if c, ok := e.(Committed); ok {
				s.timeoutsInARow++
				var unknown *beryllatch.UnknownOutcomeError
				if !errors.As(c.Err, &unknown) {
					s.timeoutsInARow = 0
				}
			}
			s.harness.applyOne(e)
			s.process()
		}
		if s.harness.now.After(next) {
			next = next.Add(interval)
			submitted++
			s.harness.submit(singleTaskJob(fmt.Sprintf("%016x", submitted)))
			s.process()
		}
		s.harness.applyOne(Ticked{})
		s.process()
	}
	return submitted
}

// A store may become many times slower and still answer. Jobs that arrive meanwhile must be stored, and repeats of transactions
// that timed out must not fill the store's queue.
func TestSlowStoreTakesJobs(t *testing.T) {
	for _, slowdown := range []int{1, 26, 60} {
		t.Run(fmt.Sprint(slowdown), func(t *testing.T) {
			h := newHarness(t)
			h.storeAll()
			s := &serialStore{
				harness: h, processingTime: time.Duration(slowdown) * 3 * time.Millisecond, latency: time.Duration(slowdown) * 4 * time.Millisecond,
				rows:    make(map[string]int64),
				timeout: 120 * time.Millisecond,
			}
			submitted := s.run(5*time.Second, 40*time.Millisecond)
			s.run(2*time.Second, time.Hour)
			stored := 0
			for _, err := range h.answers {
				if err == nil {
					stored++
				}
			}
			assert.Assert(t, stored >= submitted*95/100, "%d of %d jobs were stored", stored, submitted)
		})
	}
}
