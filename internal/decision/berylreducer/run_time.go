package berylreducer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// medianPercentile is used to estimate the work ahead of a request, slowPercentile to reserve time for its execution
	// before its deadline. If both were the median, about half of the requests that start last would miss their deadlines,
	// and their executions would be wasted.
	medianPercentile = 50
	slowPercentile   = 90
	// slowDeadlineDivisor is the inverse of the largest part of a request's time that is reserved at slowPercentile. A few
	// slow jobs of a class must not cause the refusal of the others.
	slowDeadlineDivisor = 2
	// runTimeWindow is the number of samples after which the older half of the history is dropped. It is also dropped after
	// runTimeTTL.
	runTimeWindow = 128
	// runTimeRefresh is the number of samples between two computations of the percentiles.
	runTimeRefresh = 16
	// runTimeTTL is the time without a sample after which an estimate is no longer used. Otherwise, after a slow period
	// every request of the class might be refused, and no new sample could correct the estimate.
	runTimeTTL = 5 * time.Second
	// runTimeDigits is the histograms' number of significant digits: each takes less than 2 KB and has an error of up to 10%.
	runTimeDigits = 1
	runTimeMaxMS  = int64(maxDeadline / time.Millisecond)
)

// runTimeClass identifies requests that are assumed to have similar run times.
type runTimeClass struct {
	team  string
	queue string
}

// runTime estimates the run time of one class from recent samples.
type runTime struct {
	// recent and older are the two halves of the history.
	recent *hdrhistogram.Histogram
	older  *hdrhistogram.Histogram
	// median and slow are the estimates at medianPercentile and slowPercentile.
	median time.Duration
	slow   time.Duration
	// samples counts the samples since the last reset.
	samples int
	// lastSample is the time of the latest sample.
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

// reset removes all samples.
func (t *runTime) reset() {
	t.recent.Reset()
	t.older.Reset()
	t.samples = 0
}

// compute updates the estimates from the samples.
func (t *runTime) compute() {
	h := t.recent
	if t.older.TotalCount() > 0 {
		h = t.older.Clone()
		h.Merge(t.recent)
	}
	t.median = time.Duration(h.ValueAtPercentile(medianPercentile)) * time.Millisecond
	t.slow = time.Duration(h.ValueAtPercentile(slowPercentile)) * time.Millisecond
}

// estimate returns the estimates, or 0 if they are out of date. t may be nil.
func (t *runTime) estimate(now time.Duration) (median, slow time.Duration) {
	if t == nil || now-t.lastSample > runTimeTTL {
		return 0, 0
	}
	return t.median, t.slow
}

// runTimeOf returns the median run time of the request's class; 0 means unknown.
func (r *Reducer) runTimeOf(q *request) time.Duration {
	median, _ := r.runTimes[runTimeClass{q.team, q.Queue}].estimate(r.now.Mono)
	return median
}

// latestStart returns the latest time at which the request must start to be answered before its deadline.
func (r *Reducer) latestStart(q *request) time.Duration {
	median, slow := r.runTimes[runTimeClass{q.team, q.Queue}].estimate(r.now.Mono)
	return q.deadline.Mono - max(median, min(slow, (q.deadline.Mono-q.arrivedAt)/slowDeadlineDivisor))
}

// learnRunTime records the duration of an answered execution. For one without an answer, the duration is only a lower bound
// of the run time, so it is recorded only if it is above the estimate.
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
