package beryldaemon

import (
	"context"
	"sync"
)

// pendingCalls holds the calls that wait for a reply of the reducer, by call id; its zero value works.
type pendingCalls[T any] struct {
	mu sync.Mutex
	m  map[string]chan T
}

// wait registers the call, calls post, which passes it to the reducer, and returns the reply, or the context's error if
// the context ends first.
func (c *pendingCalls[T]) wait(ctx context.Context, id string, post func()) (T, error) {
	ch := make(chan T, 1)
	c.mu.Lock()
	if c.m == nil {
		c.m = map[string]chan T{}
	}
	c.m[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.m, id)
	}()
	post()
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// resolve delivers the reply to the call; it does nothing if the call no longer waits.
func (c *pendingCalls[T]) resolve(id string, v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.m[id]; ch != nil {
		ch <- v
		delete(c.m, id)
	}
}
