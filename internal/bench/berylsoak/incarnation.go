package berylsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

const (
	// maxClockDrift is the largest share by which the clock of a worker runs slow.
	maxClockDrift = 0.02
	// minCut and cutRange give the durations of cuts of a worker. They are longer than the 4.5 s of a lease in most cases.
	minCut   = 4 * time.Second
	cutRange = 5 * time.Second
	// minLongTask and longTaskRange give the durations of the tasks of long jobs, which outlast leases and cuts.
	minLongTask   = 2 * time.Second
	longTaskRange = 5 * time.Second
	// longTaskShare divides the processor needs of long tasks.
	longTaskShare = 4
)

// slowClocks makes the clocks of workers slow by up to maxClockDrift; half of them by the whole of it.
func (r *soakRun) slowClocks() {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<35)) //nolint:gosec // The same seed must give the same soak.
	r.fleet.ClockRate = func() float64 {
		if rng.IntN(2) == 0 {
			return 1 - maxClockDrift
		}
		return 1 - maxClockDrift*rng.Float64()
	}
}

// disturbWorkers causes series of faults of single workers until the given time: a worker restarts under its ID, is cut off for about
// as long as a lease lasts or longer, and the daemons are disturbed meanwhile. The parts of a series, and series, overlap.
func (r *soakRun) disturbWorkers(end time.Time, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<36)) //nolint:gosec // The same seed must give the same soak.
	for time.Now().Before(end) && r.ctx.Err() == nil {
		s := workerSeries{
			worker: rng.IntN(r.Workers), restarts: rng.IntN(3), down: time.Duration(20+rng.IntN(700)) * time.Millisecond,
			pause: time.Duration(rng.IntN(3000)) * time.Millisecond, takeover: rng.IntN(4), daemon: rng.IntN(r.Daemons),
		}
		if rng.IntN(3) > 0 {
			s.cut = minCut + time.Duration(rng.Int64N(int64(cutRange)))
		}
		s.afterStart = s.takeover == noTakeover
		wg.Go(func() { r.disturbWorker(s) })
		sleep(r.ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
	}
}

// oddEntryInterval is the pause between odd entries in the registry.
const oddEntryInterval = 700 * time.Millisecond

// putOddEntries writes entries to the registry that name no worker, until the given time. Some lie beside those of the workers, on an
// instance of which they claim to be a later worker; others replace the registration of a worker until it is renewed.
func (r *soakRun) putOddEntries(end time.Time) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<37)) //nolint:gosec // The same seed must give the same soak.
	for n := 0; time.Now().Before(end) && r.ctx.Err() == nil; n++ {
		worker := rng.IntN(r.Workers)
		key := fmt.Sprintf("odd-%d", n)
		if rng.IntN(3) == 0 {
			if w := r.fleet.Current(fmt.Sprintf("m-%d", worker)); w != nil {
				key = w.ID
			}
		}
		entry := func(cpu, port string, born int64) string {
			return fmt.Sprintf(`{"service":"p","address":"127.0.0.1:%s","zone":"z1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
				`"capacity":{"cpu":%s,"mem_mb":16384,"gpu":0},"labels":["a","r1"],"sequence":1,"machine":"m-%d","born":%d}`, port, cpu, worker, born)
		}
		value := []string{
			strings.Repeat("[", 20_000), entry("1e400", "9000", 1), entry("8000", "90000", 1), "\x00\xff",
			entry("8000", "9", time.Now().Add(time.Hour).UnixMilli()),
		}[rng.IntN(5)]
		r.store.Put(berylfleet.Row{Table: "servers", Key: key, Value: []byte(value)})
		sleep(r.ctx, oddEntryInterval)
	}
}

// workerSeries is a series of faults of one worker.
type workerSeries struct {
	worker, restarts int
	// down is how long each restart takes, pause is the time between the parts of the series.
	down, pause time.Duration
	// cut is how long the worker is cut off; 0 means that it isn't.
	cut time.Duration
	// takeover says what happens to daemons during the cut: one is stopped, one is killed, all are killed, or noTakeover.
	takeover, daemon int
	// afterStart is true if the cut waits until a run starts on the worker after it was idle.
	afterStart bool
}

const (
	// noTakeover means that no daemon is disturbed.
	noTakeover = 3
	// idleTime is how long a worker must have been idle before the start that a series waits for, startWait how long it waits.
	idleTime  = 5 * time.Second
	startWait = 20 * time.Second
	// startPoll is the pause between two looks at a worker.
	startPoll = 5 * time.Millisecond
)

// placeOfJob returns the fields that tie a step to the worker of one instance: it can run nowhere else, its data is there, or neither.
func (r *soakRun) placeOfJob(rng *rand.Rand) string {
	instance := fmt.Sprintf("m-%d", rng.IntN(r.Workers))
	return []string{
		fmt.Sprintf(`,"requires":"only-%s"`, instance), fmt.Sprintf(`,"affinity":"rack-%s"`, instance), "", "",
	}[rng.IntN(4)]
}

// awaitStart waits until a run starts on the instance after it was idle for idleTime; it returns false after startWait.
func (r *soakRun) awaitStart(instance string) bool {
	idleSince := time.Now()
	for end := time.Now().Add(startWait); time.Now().Before(end) && r.ctx.Err() == nil; sleep(r.ctx, startPoll) {
		w := r.fleet.Current(instance)
		if w == nil || w.Runs() == 0 {
			continue
		}
		if time.Since(idleSince) >= idleTime {
			return true
		}
		idleSince = time.Now()
	}
	return false
}

func (r *soakRun) disturbWorker(s workerSeries) {
	instance := fmt.Sprintf("m-%d", s.worker)
	for range s.restarts {
		r.recordFault("worker on %s restarts under its ID within %s", instance, s.down)
		r.fleet.Restart(instance, s.down)
		sleep(r.ctx, s.pause)
	}
	if s.afterStart && !r.awaitStart(instance) {
		return
	}
	var disturbance sync.WaitGroup
	defer disturbance.Wait()
	if s.cut > 0 {
		r.recordFault("worker on %s is cut off for %s", instance, s.cut)
		r.proxies[s.worker].setMode(modeDropAll)
		defer r.proxies[s.worker].setMode(modePass)
		sleep(r.ctx, s.down)
	}
	disturbance.Go(func() { r.disturbDaemons(s) })
	if s.cut > 0 {
		sleep(r.ctx, s.cut-s.down)
	}
}

// disturbDaemons causes the faults of daemons that belong to a series.
func (r *soakRun) disturbDaemons(s workerSeries) {
	d := r.daemons[s.daemon]
	switch s.takeover {
	case 0:
		r.recordFault("%s is stopped", d.name)
		r.restart(d, d.signal(syscall.SIGTERM), s.down)
	case 1:
		r.recordFault("%s is killed", d.name)
		r.restart(d, d.signal(syscall.SIGKILL), s.down)
	case 2:
		r.restartAll(s.down / 8)
	}
}
