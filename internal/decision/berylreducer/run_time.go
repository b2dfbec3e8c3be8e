package berylreducer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// medianPercentile gives the work that waits, slowPercentile the time that a start must leave before its deadline.
	// With the median for both, about half of the requests that start last miss their deadlines and waste their runs.
	medianPercentile = 50
	slowPercentile   = 90
	// slowDeadlineDivisor caps the time left for a slow run: a class with a few slow jobs must not shut out the others.
	slowDeadlineDivisor = 2
	// runTimeWindow is the number of samples after which the older half of the history is dropped; runTimeFresh drops
	// it too.
	runTimeWindow = 128
	// runTimeRefresh is the number of samples between two computations of the quantile.
	runTimeRefresh = 16
	// runTimeTTL ends the use of an estimate without new samples. Without it, one slow spell would shed every
	// request of the class, and no sample could ever correct the estimate.
	runTimeTTL = 5 * time.Second
	// runTimeDigits keeps a histogram under 2 KB, at an error of 10%.
	runTimeDigits = 1
	runTimeMaxMS  = int64(maxDeadline / time.Millisecond)
)

// runTimeClass separates work with different run times.
type runTimeClass struct {
	team  string
	queue string
}

// runTime learns the run time of one class from its most recent samples.
type runTime struct {
	recent     *hdrhistogram.Histogram
	older      *hdrhistogram.Histogram
	median     time.Duration
	slow       time.Duration
	samples    int
	lastSample time.Duration
	// rotatedAt is when the older half was last dropped.
	rotatedAt time.Duration
}

func newRunTime() *runTime {
	return &runTime{
		recent: hdrhistogram.New(1, runTimeMaxMS, runTimeDigits),
		older:  hdrhistogram.New(1, runTimeMaxMS, runTimeDigits),
	}
}

// record adds a sample; a sample outside the range counts as the nearest value in it.
func (t *runTime) record(now, d time.Duration) {
	if now-t.lastSample > runTimeTTL {
		t.reset()
	}
	if t.recent.TotalCount() >= runTimeWindow || now-t.rotatedAt >= runTimeTTL {
		t.rotate(now)
	}
	ms := min(max(d.Milliseconds(), 1), runTimeMaxMS)
	if err := t.recent.RecordValue(ms); err != nil {
		return
	}
	t.lastSample = now
	t.samples++
	if t.samples <= runTimeRefresh || t.samples%runTimeRefresh == 0 {
		t.compute()
	}
}

// rotate drops the older half of the history.
func (t *runTime) rotate(now time.Duration) {
	t.recent, t.older = t.older, t.recent
	t.recent.Reset()
	t.rotatedAt = now
}

// reset forgets all samples.
func (t *runTime) reset() {
	t.recent.Reset()
	t.older.Reset()
	t.samples = 0
}

func (t *runTime) compute() {
	h := t.recent
	if t.older.TotalCount() > 0 {
		h = t.older.Clone()
		h.Merge(t.recent)
	}
	t.median = time.Duration(h.ValueAtPercentile(medianPercentile)) * time.Millisecond
	t.slow = time.Duration(h.ValueAtPercentile(slowPercentile)) * time.Millisecond
}

// estimate returns the estimates, or 0 when they are out of date.
func (t *runTime) estimate(now time.Duration) (median, slow time.Duration) {
	if t == nil || now-t.lastSample > runTimeTTL {
		return 0, 0
	}
	return t.median, t.slow
}

// runTimeOf returns the learned median run time of the request's class; 0 means unknown.
func (r *Reducer) runTimeOf(q *request) time.Duration {
	median, _ := r.runTimes[runTimeClass{q.team, q.Queue}].estimate(r.now.Mono)
	return median
}

// latestStart returns the last moment at which a start leaves the request time enough before its deadline.
func (r *Reducer) latestStart(q *request) time.Duration {
	median, slow := r.runTimes[runTimeClass{q.team, q.Queue}].estimate(r.now.Mono)
	return q.deadline.Mono - max(median, min(slow, (q.deadline.Mono-q.arrived)/slowDeadlineDivisor))
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
