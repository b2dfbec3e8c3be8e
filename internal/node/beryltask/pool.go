package beryltask

import (
	"context"
	"sync"
)

// pool runs queued calls on a fixed number of goroutines.
type pool struct {
	calls chan func(context.Context)
	done  <-chan struct{}
}

func newPool(ctx context.Context, running *sync.WaitGroup, size int) *pool {
	p := &pool{calls: make(chan func(context.Context), queueLength), done: ctx.Done()}
	for range size {
		running.Go(func() { p.run(ctx) })
	}
	return p
}

// add queues a call; it returns false if the queue is full or the pool has stopped.
func (p *pool) add(call func(context.Context)) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	select {
	case p.calls <- call:
		return true
	default:
		return false
	}
}

func (p *pool) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-p.calls:
			call(ctx)
		}
	}
}
