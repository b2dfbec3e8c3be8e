package beryltaskapi

import (
	"sync"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// callBuffer is the number of effects of a call that may wait for its handler. A call has fewer effects than that, so
// none is lost.
const callBuffer = 4

// pendingCalls passes effects of the reducer to the HTTP calls that wait for them, by call id; its zero value works.
type pendingCalls struct {
	mu sync.Mutex
	m  map[string]chan berylreducer.Effect
}

func (c *pendingCalls) open(id string) <-chan berylreducer.Effect {
	ch := make(chan berylreducer.Effect, callBuffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]chan berylreducer.Effect{}
	}
	c.m[id] = ch
	return ch
}

func (c *pendingCalls) close(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.m, id)
}

// deliver passes an effect to a call without blocking; it does nothing if the call is no longer open.
func (c *pendingCalls) deliver(id string, e berylreducer.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.m[id] <- e:
	default:
	}
}
