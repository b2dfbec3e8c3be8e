package beryltaskapi

import (
	"sync"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// callBuffer holds all effects of one call.
const callBuffer = 4

// pendingCalls routes the effects of the reducer to the handlers that wait for them; its zero value works.
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

// deliver never blocks; a call whose handler has gone is ignored.
func (c *pendingCalls) deliver(id string, e berylreducer.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.m[id] <- e:
	default:
	}
}
