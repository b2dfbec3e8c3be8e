package berylreducer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	runTimeQuantile = 50
	// runTimeWindow is the number of samples after which the older half of the history is dropped.
	runTimeWindow = 128
	// runTimeRefresh is the number of samples between two computations of the quantile.
	runTimeRefresh = 16
	// runTimeFresh ends the use of an estimate without new samples. Without it, one slow spell would shed every
	// request of the class, and no sample could ever correct the estimate.
	runTimeFresh = 10 * time.Second
	// runTimeDigits keeps a histogram under 2 KB, at an error of 10%.
	runTimeDigits = 1
	runTimeMaxMS  = int64(maxDeadline / time.Millisecond)
)

// runTimeClass separates work with different run times.
type runTimeClass struct {
	team  string
	queue string
}

// runTime learns the median run time of one class from its most recent samples.
type runTime struct {
	recent   *hdrhistogram.Histogram
	older    *hdrhistogram.Histogram
	estimate time.Duration
	samples  int
	last     time.Duration
}

func newRunTime() *runTime {
	return &runTime{
		recent: hdrhistogram.New(1, runTimeMaxMS, runTimeDigits),
		older:  hdrhistogram.New(1, runTimeMaxMS, runTimeDigits),
	}
}

// record adds a sample; a sample outside the range counts as the nearest value in it.
func (t *runTime) record(now, d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), runTimeMaxMS)
	if err := t.recent.RecordValue(ms); err != nil {
		return
	}
	t.last = now
	t.samples++
	if t.samples <= runTimeRefresh || t.samples%runTimeRefresh == 0 {
		t.compute()
	}
	if t.recent.TotalCount() >= runTimeWindow {
		t.recent, t.older = t.older, t.recent
		t.recent.Reset()
	}
}

func (t *runTime) compute() {
	h := t.recent
	if t.older.TotalCount() > 0 {
		h = t.older.Clone()
		h.Merge(t.recent)
	}
	t.estimate = time.Duration(h.ValueAtPercentile(runTimeQuantile)) * time.Millisecond
}

// current returns the estimate, or 0 when it is out of date.
func (t *runTime) current(now time.Duration) time.Duration {
	if t == nil || now-t.last > runTimeFresh {
		return 0
	}
	return t.estimate
}

// runTimeOf returns the learned run time of the request's class; 0 means unknown.
func (r *Reducer) runTimeOf(q *request) time.Duration {
	return r.runTimes[runTimeClass{q.team, q.Queue}].current(r.now.Mono)
}

// learnRunTime records an answered execution. One without an answer only raises the estimate: its duration is a lower
// bound of the run time.
func (r *Reducer) learnRunTime(q *request, e ExecutionEnded, answered bool) {
	if !answered && e.Duration <= r.runTimeOf(q) {
		return
	}
	class := runTimeClass{q.team, q.Queue}
	t := r.runTimes[class]
	if t == nil {
		t = newRunTime()
		r.runTimes[class] = t
	}
	t.record(r.now.Mono, e.Duration)
}
