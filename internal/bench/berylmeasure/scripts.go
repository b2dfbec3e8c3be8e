package berylmeasure

import (
	"math"
	"time"
)

// Names of the runs that newScore takes a measure from.
const (
	runWave       = "wave"
	runDataCentre = "data_centre"
	runFull       = "full"
)

// Pace holds the durations of the runs, which are shorter in tests.
type Pace struct {
	// Hour is the virtual time for one hour of the plain day.
	Hour time.Duration
	// Burst is the duration of a burst and of the low-load phase after it.
	Burst time.Duration
	// Event is how long a data centre is out and workers fail, and how long the runs full and cancellations last.
	Event time.Duration
	// Wave is the longest time for the maintenance waves of a run.
	Wave time.Duration
}

// FullPace returns the durations for `make measure`.
func FullPace() Pace {
	return Pace{Hour: 20 * time.Second, Burst: 12 * time.Second, Event: 2 * time.Minute, Wave: 75 * time.Minute}
}

// Loads are relative to the mean load of a kind of work.
const (
	burstLoad = 5.0
	lowLoad   = 1.0 / 20
	// fullLoad needs 1.4 times the slots of the fleet, see meanLoad.
	fullLoad = 4.0
	// cancelLoad keeps some requests waiting, so that both waiting and running ones are cancelled.
	cancelLoad = 2.5
	// cancelRounds is the number of calls of cancelMany, which come at equal intervals.
	cancelRounds = 4
)

// scripts returns the runs of a deployment.
func scripts(d Deployment, p Pace) []script {
	return []script{
		plainDay(p), bursts(d, p), wave(p), dataCentre(d, p), wrongDeclarations(d, p), failingWorkers(p),
		cancellations(p), waveAndDataCentre(p), fullFleet(p),
	}
}

func constantLoad(x float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return x }
}

func plainDay(p Pace) script {
	return script{name: "day", title: "plain day", length: warmUp + 24*p.Hour, load: func(work int, at time.Duration) float64 {
		return dayLoad(work, float64(at-warmUp)/float64(p.Hour))
	}}
}

// dayLoad returns the load at an hour of the day: a sine wave with a phase that differs between the kinds of work. From
// 9 h to 13 h, the first kind instead needs more than the slots of its pool (3.2 times the mean, see meanLoad).
func dayLoad(work int, hour float64) float64 {
	const (
		amplitude  = 0.6
		phaseShift = 0.7
		peakFrom   = 9
		peakTo     = 13
		peak       = 3.2
	)
	if work == 0 && hour >= peakFrom && hour < peakTo {
		return peak
	}
	return 1 + amplitude*math.Sin(2*math.Pi*(hour-6)/24+phaseShift*float64(work))
}

// burstCycle returns the time for the burst and the low-load phase of one queue, and for a pause before the next queue.
func burstCycle(p Pace) time.Duration { return 2*p.Burst + p.Burst/2 }

func bursts(d Deployment, p Pace) script {
	n := len(d.Work)
	return script{
		name: "bursts", title: "bursts in turn", length: warmUp + time.Duration(n)*burstCycle(p),
		load: func(work int, at time.Duration) float64 {
			sinceBurst := at - warmUp - time.Duration(work)*burstCycle(p)
			switch {
			case sinceBurst < 0 || sinceBurst >= 2*p.Burst:
				return 1
			case sinceBurst < p.Burst:
				return burstLoad
			}
			return lowLoad
		},
	}
}

func wave(p Pace) script {
	return script{
		name: runWave, title: "maintenance wave", length: warmUp + p.Wave, load: constantLoad(1), maintenance: true,
		events: func(f *fleet) { maintain(f, warmUp) },
	}
}

// dataCentre takes a data centre out and brings it back. The work is compared with the reference from the removal until
// an equal time after the return.
func dataCentre(d Deployment, p Pace) script {
	outAt, backAt := warmUp+p.Event/2, warmUp+p.Event*3/2
	s := script{
		name: runDataCentre, title: "data centre out and back", length: warmUp + p.Event*5/2,
		load: constantLoad(d.DataCentreLoad), windowStart: outAt, windowEnd: warmUp + p.Event*5/2,
	}
	s.reference = s.asReference()
	s.events = func(f *fleet) { dataCentreOut(f, outAt, backAt) }
	return s
}

// wrongDeclarations declares a twentieth of the rates and a tenth of the run times, and slots that are wrong by a factor
// of three.
func wrongDeclarations(d Deployment, p Pace) script {
	s := bursts(d, p)
	s.name, s.title = "declarations", "wrong declarations, bursts in turn"
	s.declaration = declaration{runTime: 0.1, rate: 0.05, slots: 3}
	return s
}

func failingWorkers(p Pace) script {
	return script{
		name: "failing", title: "workers that fail everything", length: warmUp + 2*p.Event, load: constantLoad(1),
		events: func(f *fleet) { failWorkers(f, warmUp+p.Event/4, warmUp+p.Event*5/4) },
	}
}

func cancellations(p Pace) script {
	return script{
		name: "cancellations", title: "waves of cancellations", length: warmUp + p.Event, load: constantLoad(cancelLoad),
		events: func(f *fleet) {
			for n := range cancelRounds {
				f.at(warmUp+p.Event*time.Duration(n+1)/(cancelRounds+1), func() { cancelMany(f) })
			}
		},
	}
}

// waveAndDataCentre takes a data centre out and brings it back during a wave. The reference has the wave only.
func waveAndDataCentre(p Pace) script {
	outAt, backAt := warmUp+p.Event/2, warmUp+p.Event*3/2
	s := script{
		name: "wave_and_data_centre", title: "wave with a data centre out and back", length: warmUp + p.Wave,
		load: constantLoad(1), maintenance: true, windowStart: outAt, windowEnd: backAt + p.Event,
		events: func(f *fleet) { maintain(f, warmUp) },
	}
	s.reference = s.asReference()
	s.events = func(f *fleet) {
		maintain(f, warmUp)
		dataCentreOut(f, outAt, backAt)
	}
	return s
}

// fullFleet sends more requests than the fleet has slots for, the same number from every team.
func fullFleet(p Pace) script {
	return script{
		name: runFull, title: "full fleet", length: warmUp + p.Event, load: constantLoad(fullLoad), equalTeams: true,
	}
}
