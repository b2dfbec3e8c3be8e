package beryljobs

import (
	"sync"
	"time"
)

const (
	// leastStorePatience is many times the usual 8 ms of a transaction; mostStorePatience covers one that takes 100 times as
	// long and waits for others in the store's queue.
	leastStorePatience = 120 * time.Millisecond
	mostStorePatience  = leastStorePatience << mostDoublings
	// leastOrderPatience is many times the round trip and the handling of an order, which may be repeated; mostOrderPatience
	// covers a node that is short of processor time, below a third of the lease.
	leastOrderPatience = 200 * time.Millisecond
	mostOrderPatience  = 1400 * time.Millisecond
	// patienceFactor times the mean answer time covers nearly all answers.
	patienceFactor = 6
	// mostDoublings lengthens a time-out up to 16 times while nothing is answered.
	mostDoublings = 4
	// patienceRate weighs a new answer time against the mean.
	patienceRate = 0.2
)

// patience adapts the time-out of calls to how fast they are answered: short while answers are lost, so that the next try
// comes soon, and long while all answers are slow.
type patience struct {
	least, most time.Duration

	mu   sync.Mutex
	mean time.Duration
	// doubled counts the time-outs in a row.
	doubled int
}

// timeout returns the time-out for the next call.
func (p *patience) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := max(patienceFactor*p.mean, p.least) << min(p.doubled, mostDoublings)
	return min(d, p.most)
}

// answered notes the time that an answer has taken.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = took
	}
	p.mean += time.Duration(patienceRate * float64(took-p.mean))
	p.doubled = 0
}

// missed notes a time-out.
func (p *patience) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubled++
}
