package berylmeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/beryllatch/beryllatch"
)

const (
	// maxStartTime is the largest value of the histogram of start times, in microseconds: twice the longest deadline.
	maxStartTime = int64(2 * waitDeadline / time.Microsecond)
	// startTimeDigits is the number of significant digits of that histogram.
	startTimeDigits = 3
)

// meter collects the figures that the measures of a run are computed from.
type meter struct {
	fleet *fleet
	// waiting and running are the numbers of unfinished requests by work and team.
	waiting [][]int
	running [][]int
	// counters holds the sums of the reducers' Count effects by name.
	counters map[string]int64

	// requests is the number of measured requests; done to refused count them by outcome.
	requests  int
	done      int
	failed    int
	cancelled int
	refused   map[beryllatch.Reason]int
	// urgent holds the times from the arrival of urgent requests to their first start, in microseconds.
	urgent *hdrhistogram.Histogram
	// doneInWindow is the number of requests done in the window that the script compares with its reference.
	doneInWindow int

	// samples is the number of samples, and spareSum the sum of the instances that were not needed at each of them.
	samples        int
	spareSum       float64
	moves          int
	firstWaveStart time.Duration
	lastWaveEnd    time.Duration
	// shares holds the share window of each kind of work, and shareDistance the result of all completed windows.
	shares        []shareWindow
	shareDistance mean
}

func newMeter(f *fleet) meter {
	m := meter{
		fleet: f, counters: map[string]int64{}, refused: map[beryllatch.Reason]int{},
		urgent: hdrhistogram.New(1, maxStartTime, startTimeDigits),
	}
	for range f.deployment.Work {
		m.waiting = append(m.waiting, make([]int, len(f.deployment.Teams)))
		m.running = append(m.running, make([]int, len(f.deployment.Teams)))
		m.shares = append(m.shares, newShareWindow(len(f.deployment.Teams)))
	}
	return m
}

// setState sets the state of a request and keeps waiting and running up to date.
func (m *meter) setState(q *request, to requestState) {
	m.addToStateCount(q, -1)
	q.state = to
	m.addToStateCount(q, 1)
}

// addToStateCount adds n to the number of requests in the state of q.
func (m *meter) addToStateCount(q *request, n int) {
	switch q.state {
	case stateWaiting:
		m.waiting[q.work][q.team] += n
	case stateRunning:
		m.running[q.work][q.team] += n
	case stateNone:
	}
}

// recordArrival counts a request and adds it to the load offered by its team.
func (m *meter) recordArrival(q *request) {
	if q.measured {
		m.shares[q.work].offered[q.team] += q.runTime.Seconds()
		m.requests++
	}
}

// recordStart is called when a worker starts an execution of the request.
func (m *meter) recordStart(q *request) {
	if m.fleet.requests[q.id] == q {
		m.setState(q, stateRunning)
	}
	if !q.started && q.urgent && q.measured {
		// The error of a value out of range can't occur, since a request starts before its deadline.
		_ = m.urgent.RecordValue(max(1, (m.fleet.now - q.arrivedAt).Microseconds()))
	}
	q.started = true
}

// recordOutcome counts a request by its outcome.
func (m *meter) recordOutcome(q *request, outcome requestOutcome) {
	s := m.fleet.script
	if outcome.done && !q.cancelled && m.fleet.now >= s.windowStart && m.fleet.now < s.windowEnd {
		m.doneInWindow++
	}
	switch {
	case !q.measured:
	case q.cancelled:
		m.cancelled++
	case outcome.done:
		m.done++
	case outcome.reason != "":
		m.refused[outcome.reason]++
	default:
		m.failed++
	}
}

// instancesNeeded returns the number of instances that the waiting and running requests of a kind of work would fill.
func (m *meter) instancesNeeded(work int) int {
	return instancesFor(sum(m.waiting[work])+sum(m.running[work]), m.fleet.deployment.Slots)
}

// instancesFor returns the number of instances with that many slots in total, rounded up.
func instancesFor(slots, perInstance int) int { return (slots + perInstance - 1) / perInstance }

func sum(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}

// sample records how many instances were not needed and adds to the share windows.
func (m *meter) sample() {
	f := m.fleet
	if f.now < warmUp || f.scriptDone {
		return
	}
	c := f.config()
	spare := len(c.Instances)
	for n, w := range f.deployment.Work {
		spare -= instancesFor(sum(m.running[n]), f.deployment.Slots)
		m.sampleShare(c, n, w.Name)
	}
	m.samples++
	m.spareSum += float64(spare)
}

// recordConfig counts the moves that a new configuration begins and records when waves start and end.
func (m *meter) recordConfig(before, after beryllatch.Config) {
	for id, i := range after.Instances {
		if i.MoveTo != "" && before.Instances[id].MoveTo == "" {
			m.moves++
		}
	}
	for id, w := range after.Waves {
		old, existed := before.Waves[id]
		switch {
		case !existed && m.firstWaveStart == 0:
			m.firstWaveStart = m.fleet.now
		case existed && old.State != w.State && w.State == beryllatch.WaveDone:
			m.lastWaveEnd = m.fleet.now
		}
	}
}
