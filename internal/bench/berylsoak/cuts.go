package berylsoak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// dataCentres is the number of groups of daemons and workers that cuts separate.
	dataCentres = 3
	// minNetworkCut and networkCutRange give the durations of cuts of the network.
	minNetworkCut   = 2 * time.Second
	networkCutRange = 18 * time.Second
	// minSeriesPause and seriesPauseRange give the pauses between the beginnings of series of cuts.
	minSeriesPause   = time.Second
	seriesPauseRange = 4 * time.Second
	// isolationInterval is how many series there are to each one that isolates the scheduling node, for at least minIsolation.
	isolationInterval = 3
	minIsolation      = 8 * time.Second
	// cutFaultPause is by how much the pauses between the other faults are longer in a soak with cuts, so that a cut can outlast a lease
	// without a restart.
	cutFaultPause = 8
	// storeHost and instancesHost are the hosts outside of the data centres.
	storeHost     = "store"
	instancesHost = "instances"
)

// cutKind says which sides a cut separates.
type cutKind int

// The kinds of cuts.
const (
	// cutDataCentre separates a data centre from all others, the store and the instance interface.
	cutDataCentre cutKind = iota
	// cutRegion separates a data centre from the others only.
	cutRegion
	// cutDaemon separates a daemon from all but the workers of its data centre.
	cutDaemon
	// cutStore, cutInstances, cutWorker and cutPeer separate a daemon from one other host.
	cutStore
	cutInstances
	cutWorker
	cutPeer
)

// cutSeries is a cut of the network with signals to daemons meanwhile.
type cutSeries struct {
	kind cutKind
	// atScheduler is true if the cut is made at the scheduling node instead of the given daemon.
	atScheduler   bool
	daemon, other int
	forth, back   bool
	resets        bool
	duration      time.Duration
	signals       []cutSignal
}

// cutSignal is a fault of a process during a cut.
type cutSignal struct {
	// after is the time from the beginning of the cut.
	after, duration time.Duration
	// kind and daemon are as in injectFault.
	kind, daemon int
}

// drawSeries draws a series of cuts; all of its chance is drawn here, so that a seed gives the same series.
func drawSeries(rng *rand.Rand, daemons, workers int) cutSeries {
	kinds := []cutKind{
		cutDataCentre, cutDataCentre, cutDataCentre, cutDataCentre, cutRegion, cutDaemon, cutDaemon, cutStore, cutInstances, cutWorker, cutPeer,
	}
	s := cutSeries{
		kind: kinds[rng.IntN(len(kinds))], atScheduler: rng.IntN(3) > 0, daemon: rng.IntN(daemons), other: rng.IntN(workers),
		resets: rng.IntN(6) == 0, duration: minNetworkCut + time.Duration(rng.Int64N(int64(networkCutRange))),
	}
	// A third of the cuts go one way.
	way := rng.IntN(6)
	s.forth, s.back = way != 0, way != 1
	for range max(0, rng.IntN(4)-1) {
		s.signals = append(s.signals, cutSignal{
			after: time.Duration(rng.Int64N(int64(s.duration))), duration: time.Duration(300+rng.IntN(6000)) * time.Millisecond,
			kind: 2 + rng.IntN(3), daemon: rng.IntN(daemons),
		})
	}
	return s
}

func (r *soakRun) instance(n int) string { return fmt.Sprintf("m-%d", n%r.Workers) }

// dataCentre returns the hosts of a data centre, and the hosts of the others.
func (r *soakRun) dataCentre(number int) (inside, outside []string) {
	add := func(n int, host string) {
		if n%dataCentres == number {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	for i := range r.Daemons {
		add(i, daemonName(i))
	}
	for i := range r.Workers {
		add(i, r.instance(i))
	}
	return inside, outside
}

// cutOf returns the cut of a series that is made at the given daemon.
func (r *soakRun) cutOf(s cutSeries, daemon int) cut {
	inside, outside := r.dataCentre(daemon % dataCentres)
	a, b := []string{daemonName(daemon)}, []string(nil)
	switch s.kind {
	case cutDataCentre:
		a, b = inside, slices.Concat(outside, []string{storeHost, instancesHost})
	case cutRegion:
		a, b = inside, outside
	case cutDaemon:
		b = slices.Concat(outside, []string{storeHost, instancesHost})
		for i := range r.Daemons {
			if name := daemonName(i); i != daemon && slices.Contains(inside, name) {
				b = append(b, name)
			}
		}
	case cutStore:
		b = []string{storeHost}
	case cutInstances:
		b = []string{instancesHost}
	case cutWorker:
		b = []string{r.instance(s.other)}
	case cutPeer:
		b = []string{daemonName((daemon + 1 + s.other%max(1, r.Daemons-1)) % r.Daemons)}
	}
	return cutBetween(a, b, s.forth, s.back, s.resets)
}

// cutNetwork starts series of cuts, which overlap, until the given time, at which all end.
func (r *soakRun) cutNetwork(end time.Time, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<38)) //nolint:gosec // The same seed must give the same soak.
	for n := 0; ; n++ {
		sleep(r.ctx, minSeriesPause+time.Duration(rng.Int64N(int64(seriesPauseRange))))
		if !time.Now().Before(end) || r.ctx.Err() != nil {
			return
		}
		s := drawSeries(rng, r.Daemons, r.Workers)
		if n%isolationInterval == 0 {
			s.isolateScheduler()
		}
		wg.Go(func() { r.carryOutSeries(s, end) })
	}
}

func (r *soakRun) carryOutSeries(s cutSeries, end time.Time) {
	daemon := s.daemon
	if s.atScheduler {
		for i := range r.Daemons {
			if daemonName(i) == r.network.scheduler() {
				daemon = i
			}
		}
	}
	duration := min(s.duration, time.Until(end))
	c := r.cutOf(s, daemon)
	r.recordFault("%s for %s", s.describe(daemon), duration.Round(time.Millisecond))
	r.network.begin(c)
	var wg sync.WaitGroup
	for _, sig := range s.signals {
		if sig.after < duration {
			wg.Go(func() {
				sleep(r.ctx, sig.after)
				r.injectFault(sig.kind, sig.daemon, modePass, sig.duration)
			})
		}
	}
	sleep(r.ctx, duration)
	r.network.end(c)
	wg.Wait()
}

// isolateScheduler makes the series cut the data centre of the scheduling node off for longer than a lease.
func (s *cutSeries) isolateScheduler() {
	s.kind, s.atScheduler, s.forth, s.back, s.resets = cutDataCentre, true, true, true, false
	s.duration = max(s.duration, minIsolation)
}

// describe returns the text of a series for the list of faults.
func (s cutSeries) describe(daemon int) string {
	where := fmt.Sprintf("%s is cut off from %s", daemonName(daemon), map[cutKind]string{
		cutDaemon: "all but its workers", cutStore: "the store", cutInstances: "the instance interface",
		cutWorker: fmt.Sprintf("worker %d", s.other), cutPeer: "another daemon",
	}[s.kind])
	switch s.kind {
	case cutDataCentre:
		where = fmt.Sprintf("data centre %d is cut off", daemon%dataCentres)
	case cutRegion:
		where = fmt.Sprintf("data centre %d is cut off from the others", daemon%dataCentres)
	case cutDaemon, cutStore, cutInstances, cutWorker, cutPeer:
	}
	return fmt.Sprintf("%s (outgoing %t, incoming %t, by resets %t)", where, s.forth, s.back, s.resets)
}

// setUpNetwork gives the daemons their names in the network, and puts links before them.
func (r *soakRun) setUpNetwork() error {
	r.network = newNetwork()
	for i := range r.Daemons {
		ip, err := netip.ParseAddr(r.daemonIP(i))
		if err != nil {
			return err
		}
		r.network.daemons[ip] = daemonName(i)
	}
	return nil
}

// linked returns the address of a new link to a host in a soak with cuts, else the target itself.
func (r *soakRun) linked(host, target string, toWorker bool) (string, error) {
	if r.network == nil {
		return target, nil
	}
	l, err := newLink(r.ctx, r.network, host, target, toWorker)
	if err != nil {
		return "", err
	}
	return l.address, nil
}
