package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// script is what happens in one run, apart from the decisions.
type script struct {
	name  string
	title string
	// length is the virtual time of the run; a script may end before.
	length time.Duration
	// load is the rate of the requests of a kind of work, relative to its mean.
	load func(work int, at time.Duration) float64
	// equalTeams lets every team send the same part of the requests.
	equalTeams  bool
	declaration declaration
	// maintenance is true for a run with a maintenance wave.
	maintenance bool
	// events schedules what operators, workers and callers do; nil means nothing.
	events func(f *fleet)
	// windowStart and to bound the time in which done work is counted for a comparison with the reference.
	windowStart, windowEnd time.Duration
	// reference is the same run without the data centre's removal.
	reference *script
}

// asReference returns the reference of the script as it is: the same run, until the end of the comparison.
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

// ignoreReply drops the outcome of an operator's call.
func ignoreReply(berylreducer.ReplyOperator) {}

// dataCentreOut takes the first data centre out and brings it back.
func dataCentreOut(f *fleet, outAt, backAt time.Duration) {
	name := f.deployment.DataCentres[0].Name
	f.at(outAt, func() { f.submitChanges(0, ignoreReply, berylplan.SetDataCentreOut{Name: name, Out: true}) })
	f.at(backAt, func() { f.submitChanges(1, ignoreReply, berylplan.SetDataCentreOut{Name: name}) })
}

// waveID names a maintenance wave by its number.
func waveID(n int) string { return "wave-" + string(rune('a'+n)) }

// maintain starts the waves one after another and ends the run after the last; the chosen policy has a single wave.
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

// failWorkers lets every sixth worker fail everything between two times.
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

// cancelMany lets the callers of three in five open requests close their connections.
func cancelMany(f *fleet) {
	for n, id := range beryllatch.SortedKeys(f.requests) {
		if n%5 < 3 {
			f.cancelRequest(f.requests[id])
		}
	}
}
