package berylsoak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

const (
	// lateShare is the share of orders that get no answer and are carried out between minLateness and maxLateness later.
	lateShare   = 0.04
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// lateOrders chooses the orders to a worker that are carried out late; its zero value chooses none.
type lateOrders struct {
	until time.Time

	mu  sync.Mutex
	rng *rand.Rand
}

func (r *soakRun) lateOrders(worker int) *lateOrders {
	if !r.Late {
		return &lateOrders{}
	}
	rng := rand.New(rand.NewPCG(r.Seed, 1<<37+uint64(worker))) //nolint:gosec // The same seed must give the same soak.
	return &lateOrders{until: time.Now().Add(startTime + r.Duration), rng: rng}
}

// take reports whether the next order is carried out late.
func (l *lateOrders) take() bool {
	if l.rng == nil || time.Now().After(l.until) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < lateShare
}

func (l *lateOrders) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return minLateness + time.Duration(l.rng.Int64N(int64(maxLateness-minLateness)))
}

// carryOutLate leaves the order without an answer, and has it carried out after the delay by whichever incarnation of the worker is up then.
func (r *soakRun) carryOutLate(req *http.Request, sentTo *berylfleet.Worker, delay time.Duration) {
	body, err := io.ReadAll(req.Body)
	if err == nil {
		late := req.Clone(context.WithoutCancel(req.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay, func() {
			if w := r.fleet.Current(sentTo.Instance); w != nil && r.ctx.Err() == nil {
				w.CarryOutLate(late, sentTo)
			}
		})
	}
	select {
	case <-req.Context().Done():
	case <-r.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}
