package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// script describes the load and the events of one run.
type script struct {
	name  string
	title string
	// length is the virtual time of the run. A run with maintenance ends as soon as its last wave is done.
	length time.Duration
	// load returns the rate of the requests of a kind of work at a time, relative to its mean.
	load func(work int, at time.Duration) float64
	// equalTeams makes all teams send equal numbers of requests.
	equalTeams bool
	// declaration holds the errors of the declared values.
	declaration declaration
	// maintenance is true for a run with a maintenance wave.
	maintenance bool
	// events schedules operators' changes, failures of workers and cancellations; nil means none.
	events func(f *fleet)
	// The work done from windowStart to windowEnd is compared with that of the reference.
	windowStart, windowEnd time.Duration
	// reference is the same run without the removal of the data centre; nil if there is nothing to compare.
	reference *script
}

// asReference returns a copy of the script that ends with the window of the comparison.
func (s script) asReference() *script {
	s.length = s.windowEnd
	return &s
}

func (s script) scheduleEvents(f *fleet) {
	if s.events != nil {
		s.events(f)
	}
}

func (s script) teamLoadWeight(t TeamLoad) float64 {
	if s.equalTeams {
		return 1
	}
	return t.LoadWeight
}

// ignoreReply is a reply handler that does nothing.
func ignoreReply(berylreducer.ReplyOperator) {}

// dataCentreOut takes the first data centre out of service at outAt and brings it back at backAt.
func dataCentreOut(f *fleet, outAt, backAt time.Duration) {
	name := f.deployment.DataCentres[0].Name
	f.at(outAt, func() { f.submitChanges(0, ignoreReply, berylplan.SetDataCentreOut{Name: name, Out: true}) })
	f.at(backAt, func() { f.submitChanges(1, ignoreReply, berylplan.SetDataCentreOut{Name: name}) })
}

// waveID names a maintenance wave by its number.
func waveID(n int) string { return "wave-" + string(rune('a'+n)) }

// maintain starts a maintenance wave over all services, or, under the policy one_at_a_time, a wave for each service one
// after another. The run ends after the last wave.
func maintain(f *fleet, at time.Duration) {
	waves := [][]string{beryllatch.SortedKeys(f.config().Services)}
	if f.policy.oneAtATime {
		waves = nil
		for _, s := range beryllatch.SortedKeys(f.config().Services) {
			waves = append(waves, []string{s})
		}
	}
	f.at(at, func() { f.startWave(waves, 0) })
}

// startWave starts the wave with the number n and, when it is done, the next one; waves holds the services of each.
func (f *fleet) startWave(waves [][]string, n int) {
	if n == len(waves) {
		f.scriptDone = true
		return
	}
	w := beryllatch.Wave{ID: waveID(n), Services: waves[n]}
	f.submitChanges(0, ignoreReply, berylplan.StartWave{Wave: w})
	f.awaitWave(w.ID, func() { f.startWave(waves, n+1) })
}

// awaitWave calls next once the wave is done.
func (f *fleet) awaitWave(id string, next func()) {
	f.after(sampleInterval, func() {
		if f.config().Waves[id].State == beryllatch.WaveDone {
			next()
			return
		}
		f.awaitWave(id, next)
	})
}

// failWorkers makes every sixth worker answer all work with a failure, between the times from and to.
func failWorkers(f *fleet, from, to time.Duration) {
	const stride = 6
	set := func(failing bool) func() {
		return func() {
			for n := 0; n < len(f.workerIDs); n += stride {
				f.workers[f.workerIDs[n]].failing = failing
			}
		}
	}
	f.at(from, set(true))
	f.at(to, set(false))
}

// cancelMany cancels three in five of the unfinished requests.
func cancelMany(f *fleet) {
	for n, id := range beryllatch.SortedKeys(f.requests) {
		if n%5 < 3 {
			f.cancelRequest(f.requests[id])
		}
	}
}
