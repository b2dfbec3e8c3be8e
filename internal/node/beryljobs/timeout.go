package beryljobs

import (
	"sync"
	"time"
)

const (
	// minStoreTimeout is many times the usual 8 ms of a transaction. maxStoreTimeout covers one that takes 100 times as
	// long and waits for others in the store's queue.
	minStoreTimeout = 120 * time.Millisecond
	maxStoreTimeout = minStoreTimeout << maxDoublings
	// minWorkerTimeout is many times the round trip and the handling of a call to a worker; it may be this short
	// because a repeated call is harmless. maxWorkerTimeout covers a node that is short of processor time, and is below
	// a third of the lease.
	minWorkerTimeout = 200 * time.Millisecond
	maxWorkerTimeout = 1400 * time.Millisecond
	// meanFactor times the mean answer time covers nearly all answers.
	meanFactor = 6
	// maxDoublings lengthens a time-out up to 16 times while nothing is answered.
	maxDoublings = 4
	// newAnswerWeight is the weight of a new answer time in the moving average.
	newAnswerWeight = 0.2
)

// adaptiveTimeout adapts the time-out of calls to the time that their answers take. It is short while answers get lost,
// so that the next attempt comes soon, and long while all answers are slow.
type adaptiveTimeout struct {
	shortest, longest time.Duration

	mu sync.Mutex
	// meanTime is the moving average of the answer times; 0 before the first answer.
	meanTime time.Duration
	// timeouts counts the calls without an answer since the last answer.
	timeouts int
}

// next returns the time-out for the next call.
func (t *adaptiveTimeout) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := max(meanFactor*t.meanTime, t.shortest) << min(t.timeouts, maxDoublings)
	return min(d, t.longest)
}

// recordAnswer records the time that an answer has taken.
func (t *adaptiveTimeout) recordAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.meanTime == 0 {
		t.meanTime = took
	}
	t.meanTime += time.Duration(newAnswerWeight * float64(took-t.meanTime))
	t.timeouts = 0
}

// recordTimeout records a call that was not answered in time.
func (t *adaptiveTimeout) recordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
}
