package berylsoak

import (
	"context"
	"net/netip"
	"sync"
)

// direction is the way of packets from one host to another.
type direction struct{ from, to string }

// cut is a fault of the network: the packets of some directions are lost, or connections are reset.
type cut struct {
	directions []direction
	resets     bool
}

// cutBetween returns a cut between the hosts of two sides, in both directions or in one.
func cutBetween(a, b []string, forth, back, resets bool) cut {
	c := cut{resets: resets}
	for _, x := range a {
		for _, y := range b {
			if forth {
				c.directions = append(c.directions, direction{x, y})
			}
			if back {
				c.directions = append(c.directions, direction{y, x})
			}
		}
	}
	return c
}

// network holds the cuts that are in force. Its hosts are the daemons, the instances of the workers, the store and the instance interface.
type network struct {
	// daemons holds the names of the daemons by their IP addresses, from which they connect.
	daemons map[netip.Addr]string

	mu sync.Mutex
	// lost and reset count the cuts in force.
	lost, reset map[direction]int
	// changed is closed at the next change of the cuts.
	changed chan struct{}
	links   []*link
	// down holds the hosts whose processes don't run.
	down map[string]bool
	// lastCaller is the daemon that has sent the latest call to a worker.
	lastCaller string
}

func newNetwork() *network {
	return &network{
		daemons: make(map[netip.Addr]string), lost: make(map[direction]int), reset: make(map[direction]int), changed: make(chan struct{}),
		down: make(map[string]bool),
	}
}

// begin puts a cut into force.
func (n *network) begin(c cut) { n.count(c, 1) }

// end ends a cut; others that cover the same directions stay in force.
func (n *network) end(c cut) { n.count(c, -1) }

func (n *network) count(c cut, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.lost
	if c.resets {
		counts = n.reset
	}
	for _, d := range c.directions {
		counts[d] += by
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.update()
}

// setDown records whether the process of a host runs.
func (n *network) setDown(host string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[host] = down
	n.update()
}

func (n *network) update() {
	for _, l := range n.links {
		l.update()
	}
}

// isCut reports whether a host is part of a cut that loses packets.
func (n *network) isCut(host string) bool {
	for d, count := range n.lost {
		if count > 0 && (d.from == host || d.to == host) {
			return true
		}
	}
	return false
}

// recordCall records that a daemon calls a worker.
func (n *network) recordCall(daemon string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCaller = daemon
}

// scheduler returns the daemon that has sent the latest call to a worker; empty if there was none.
func (n *network) scheduler() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastCaller
}

// await waits until packets pass in a direction; it returns false if ctx ends before.
func (n *network) await(ctx context.Context, d direction) bool {
	for {
		n.mu.Lock()
		lost, changed := n.lost[d] > 0, n.changed
		n.mu.Unlock()
		if !lost {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
