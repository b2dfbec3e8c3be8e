package berylmeasure

import (
	"math"
	"time"
)

// Names of the runs that the score takes single measures from.
const (
	runWave       = "wave"
	runDataCentre = "data_centre"
	runFull       = "full"
)

// Pace shortens the runs of tests.
type Pace struct {
	// Hour is the virtual time of one hour of the plain day.
	Hour time.Duration
	// Burst is how long a queue bursts, and how long it is nearly idle afterwards.
	Burst time.Duration
	// Event is how long a data centre is out, workers fail and a fleet is full.
	Event time.Duration
	// Wave bounds the time of a maintenance wave.
	Wave time.Duration
}

// FullPace is that of `make measure`.
func FullPace() Pace {
	return Pace{Hour: 20 * time.Second, Burst: 12 * time.Second, Event: 2 * time.Minute, Wave: 75 * time.Minute}
}

const (
	burstLoad  = 5.0
	troughLoad = 1.0 / 20
	// fullLoad is 1.4 times what the fleet holds.
	fullLoad = 4.0
	// cancelLoad keeps requests waiting, so that cancellations meet queued and running ones.
	cancelLoad = 2.5
	// cancelRounds come at equal distances.
	cancelRounds = 4
)

// scripts returns the runs of a deployment.
func scripts(d Deployment, p Pace) []script {
	return []script{
		plainDay(p), bursts(d, p), wave(p), dataCentre(d, p), wrongDeclarations(d, p), failing(p), cancellations(p),
		waveAndDataCentre(p), full(p),
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

// dayLoad is a daily wave with a shifted peak for each kind of work; the first one has a long peak beyond its pool.
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

// burstCycle is the time of one queue's burst, trough and rest.
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
			return troughLoad
		},
	}
}

func wave(p Pace) script {
	return script{
		name: runWave, title: "maintenance wave", length: warmUp + p.Wave, load: constantLoad(1), maintenance: true,
		events: func(f *fleet) { maintain(f, warmUp) },
	}
}

// dataCentre measures from the removal until an equal time after the return.
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

// wrongDeclarations declares a twentieth of the rates, a tenth of the run times, and slots that are off by three.
func wrongDeclarations(d Deployment, p Pace) script {
	s := bursts(d, p)
	s.name, s.title = "declarations", "wrong declarations, bursts in turn"
	s.declaration = declaration{runTime: 0.1, rate: 0.05, slots: 3}
	return s
}

func failing(p Pace) script {
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

// waveAndDataCentre takes a data centre out while a wave is under way. Both runs of the comparison have the wave.
func waveAndDataCentre(p Pace) script {
	outAt, backAt := warmUp+p.Event/2, warmUp+p.Event*3/2
	s := script{
		name: "wave_and_data_centre", title: "wave with a data centre out and back", length: warmUp + p.Wave,
		load: constantLoad(1), maintenance: true, windowStart: outAt, windowEnd: backAt + p.Event, events: func(f *fleet) { maintain(f, warmUp) },
	}
	s.reference = s.asReference()
	s.events = func(f *fleet) {
		maintain(f, warmUp)
		dataCentreOut(f, outAt, backAt)
	}
	return s
}

// full sends more than the fleet holds, the same from every team.
func full(p Pace) script {
	return script{
		name: runFull, title: "full fleet", length: warmUp + p.Event, load: constantLoad(fullLoad), equalTeams: true,
	}
}
