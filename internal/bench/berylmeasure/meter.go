package berylmeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/beryllatch/beryllatch"
)

const (
	// The histogram of start times holds microseconds up to twice the longest deadline.
	maxStartTime    = int64(2 * waitDeadline / time.Microsecond)
	startTimeDigits = 3
)

// meter counts what a run delivers and costs.
type meter struct {
	fleet *fleet
	// waiting and running count open requests by work and team.
	waiting  [][]int
	running  [][]int
	counters map[string]int64

	requests  int
	done      int
	failed    int
	cancelled int
	refused   map[beryllatch.Reason]int
	urgent    *hdrhistogram.Histogram
	// doneInWindow is the work done in the script's window.
	doneInWindow int

	samples        int
	spareSum       float64
	moves          int
	firstWaveStart time.Duration
	lastWaveEnd    time.Duration
	shares         []shareWindow
	shareDistance  mean
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

func (m *meter) setState(q *request, to requestState) {
	m.addOpen(q, -1)
	q.state = to
	m.addOpen(q, 1)
}

func (m *meter) addOpen(q *request, n int) {
	switch q.state {
	case stateWaiting:
		m.waiting[q.work][q.team] += n
	case stateRunning:
		m.running[q.work][q.team] += n
	case stateNone:
	}
}

func (m *meter) recordArrival(q *request) {
	if q.measured {
		m.shares[q.work].offered[q.team] += q.runTime.Seconds()
		m.requests++
	}
}

// recordStart records the start of an execution at a worker.
func (m *meter) recordStart(q *request) {
	if m.fleet.requests[q.id] == q {
		m.setState(q, stateRunning)
	}
	if !q.started && q.urgent && q.measured {
		// A value out of range can't occur: a request starts before its deadline.
		_ = m.urgent.RecordValue(max(1, (m.fleet.now - q.arrivedAt).Microseconds()))
	}
	q.started = true
}

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

// instancesNeeded is the number of instances that the open requests of the work would fill.
func (m *meter) instancesNeeded(work int) int {
	return instancesFor(sum(m.waiting[work])+sum(m.running[work]), m.fleet.deployment.Slots)
}

func instancesFor(slots, perInstance int) int { return (slots + perInstance - 1) / perInstance }

func sum(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}

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

// recordConfig follows moves and waves.
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
