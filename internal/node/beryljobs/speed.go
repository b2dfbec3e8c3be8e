package beryljobs

import (
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// speedSamples is how many samples a median is taken of.
	speedSamples = 9
	// slowFactor is how many times longer than at best the computation takes on a slow machine.
	slowFactor = 3
	// speedWork is the size of a sample's computation in bytes; it takes some 8 µs on a whole core. speedRuns is how often it is
	// repeated; the shortest time counts, since other threads may interrupt it.
	speedWork = 8 << 10
	speedRuns = 4
)

// speedMeter tells whether the machine has become slow, by the time that a fixed computation takes. Its zero value is ready to use.
type speedMeter struct {
	// measure returns the time of one computation; nil stands for the actual one.
	measure func() time.Duration

	mu sync.Mutex
	// median is that of the last samples, and best the least one so far; 0 means that there were too few samples.
	median, best time.Duration
	last         []time.Duration
}

// sample measures once.
func (m *speedMeter) sample() {
	measure := m.measure
	if measure == nil {
		measure = timeOfWork
	}
	d := measure()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = append(m.last, d)
	if len(m.last) < speedSamples {
		return
	}
	m.median = slices.Sorted(slices.Values(m.last))[speedSamples/2]
	m.last = slices.Delete(m.last, 0, 1)
	if m.best == 0 || m.median < m.best {
		m.best = m.median
	}
}

// slow reports whether the computation lately took much longer than at best.
func (m *speedMeter) slow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.best > 0 && m.median >= slowFactor*m.best
}

// timeOfWork returns how long a fixed computation takes.
func timeOfWork() time.Duration {
	var b [speedWork]byte
	least := time.Duration(math.MaxInt64)
	for range speedRuns {
		start := time.Now()
		h := fnv.New32a()
		_, _ = h.Write(b[:]) // A hash never fails.
		least = min(least, time.Since(start))
	}
	return least
}
