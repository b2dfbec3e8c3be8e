package beryltask

import (
	"context"
	"sync"
)

// pool runs queued calls on a fixed number of goroutines.
type pool struct {
	jobs chan func(context.Context)
	done <-chan struct{}
}

func newPool(ctx context.Context, running *sync.WaitGroup, size int) *pool {
	p := &pool{jobs: make(chan func(context.Context), queueLength), done: ctx.Done()}
	for range size {
		running.Go(func() { p.work(ctx) })
	}
	return p
}

// add queues a call; it returns false if the queue is full or the pool has stopped.
func (p *pool) add(job func(context.Context)) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

func (p *pool) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-p.jobs:
			job(ctx)
		}
	}
}
