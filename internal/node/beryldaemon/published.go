package beryldaemon

import (
	"context"
	"sync"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// sharedState holds copies of the parts of the reducer's state that goroutines outside the event loop read; its zero
// value works.
type sharedState struct {
	mu     sync.Mutex
	self   berylreducer.Identity
	config beryllatch.Config
	nodes  int
	// configChanged is closed when the configuration changes.
	configChanged chan struct{}
}

// set copies the reducer's state; the event loop calls it after each event.
func (p *sharedState) set(r *berylreducer.Reducer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self, p.nodes = r.Self(), r.Nodes()
	if c := r.Config(); c.Version != p.config.Version {
		p.config = c
		if p.configChanged != nil {
			close(p.configChanged)
			p.configChanged = nil
		}
	}
}

func (p *sharedState) get() (berylreducer.Identity, beryllatch.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self, p.config
}

// nodeCount returns the number of registered nodes, at least 1.
func (p *sharedState) nodeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.nodes)
}

// wait returns once the configuration in force has the given version or a later one, or returns the context's error.
func (p *sharedState) wait(ctx context.Context, version uint64) error {
	for {
		p.mu.Lock()
		if p.config.Version >= version {
			p.mu.Unlock()
			return nil
		}
		if p.configChanged == nil {
			p.configChanged = make(chan struct{})
		}
		changed := p.configChanged
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
