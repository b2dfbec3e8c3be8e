package berylmeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/beryllatch/beryllatch"
)

const (
	// The histogram of start times holds microseconds up to twice the longest deadline.
	startMax    = int64(2 * waitDeadline / time.Microsecond)
	startDigits = 3
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
	abandoned int
	refused   map[beryllatch.Reason]int
	urgent    *hdrhistogram.Histogram
	// compared is the work done in the script's window.
	compared int

	samples     int
	spare       float64
	moves       int
	waveStarted time.Duration
	waveEnded   time.Duration
	shares      []shareWindow
	distance    mean
}

func newMeter(f *fleet) meter {
	m := meter{
		fleet: f, counters: map[string]int64{}, refused: map[beryllatch.Reason]int{},
		urgent: hdrhistogram.New(1, startMax, startDigits),
	}
	for range f.deployment.Work {
		m.waiting = append(m.waiting, make([]int, len(f.deployment.Teams)))
		m.running = append(m.running, make([]int, len(f.deployment.Teams)))
		m.shares = append(m.shares, newShareWindow(len(f.deployment.Teams)))
	}
	return m
}

func (m *meter) setPlace(q *request, to place) {
	m.count(q, -1)
	q.place = to
	m.count(q, 1)
}

func (m *meter) count(q *request, n int) {
	switch q.place {
	case placeWaiting:
		m.waiting[q.work][q.team] += n
	case placeRunning:
		m.running[q.work][q.team] += n
	case placeNone:
	}
}

func (m *meter) arrived(q *request) {
	if q.counted {
		m.shares[q.work].offered[q.team] += q.runTime.Seconds()
		m.requests++
	}
}

// started records the start of an execution at a worker.
func (m *meter) started(q *request) {
	if m.fleet.requests[q.id] == q {
		m.setPlace(q, placeRunning)
	}
	if !q.started && q.urgent && q.counted {
		// A value out of range can't occur: a request starts before its deadline.
		_ = m.urgent.RecordValue(max(1, (m.fleet.now - q.arrived).Microseconds()))
	}
	q.started = true
}

func (m *meter) ended(q *request, e end) {
	s := m.fleet.script
	if e.done && !q.abandoned && m.fleet.now >= s.from && m.fleet.now < s.to {
		m.compared++
	}
	switch {
	case !q.counted:
	case q.abandoned:
		m.abandoned++
	case e.done:
		m.done++
	case e.reason != "":
		m.refused[e.reason]++
	default:
		m.failed++
	}
}

// need is the number of instances that the open requests of the work would fill.
func (m *meter) need(work int) int {
	return instances(sum(m.waiting[work])+sum(m.running[work]), m.fleet.deployment.Slots)
}

func instances(slots, perInstance int) int { return (slots + perInstance - 1) / perInstance }

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
		spare -= instances(sum(m.running[n]), f.deployment.Slots)
		m.sampleShare(c, n, w.Name)
	}
	m.samples++
	m.spare += float64(spare)
}

// committed follows moves and waves.
func (m *meter) committed(before, after beryllatch.Config) {
	for id, i := range after.Instances {
		if i.MoveTo != "" && before.Instances[id].MoveTo == "" {
			m.moves++
		}
	}
	for id, w := range after.Waves {
		old, known := before.Waves[id]
		switch {
		case !known && m.waveStarted == 0:
			m.waveStarted = m.fleet.now
		case known && old.State != w.State && w.State == beryllatch.WaveDone:
			m.waveEnded = m.fleet.now
		}
	}
}
