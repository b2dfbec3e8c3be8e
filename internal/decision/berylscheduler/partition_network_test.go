package berylscheduler

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	errLate = errors.New("no answer in time")
	// errUnsent is the error of a request that certainly had no effect.
	errUnsent = errors.New("not sent")
)

// link is one direction between two machines.
type link struct{ from, to string }

type linkState struct {
	cutUntil, slowUntil time.Duration
	// slowBy is the longest delay while the link is slow.
	slowBy time.Duration
}

// send delivers a message to the far side, and returns false if it is lost. A message on a cut link may arrive once the cut is over,
// since the network repeats packets.
func (m *partitionModel) send(from, to string, deliver func()) bool {
	d := m.between(time.Millisecond, 5*time.Millisecond)
	if l := m.links[link{from, to}]; l != nil {
		switch {
		case m.now < l.cutUntil:
			left := l.cutUntil - m.now
			if left > longestDelay || m.chance(0.7) {
				return false
			}
			d += left
		case m.now < l.slowUntil:
			d += m.between(0, l.slowBy)
		}
	}
	m.after(d, deliver)
	return true
}

// whenAwake runs something on a machine, after its process has gone on if it is paused.
func (m *partitionModel) whenAwake(name string, run func()) {
	if until := m.frozenUntil[name]; m.now < until {
		m.after(until-m.now, func() { m.whenAwake(name, run) })
		return
	}
	run()
}

// call sends a request. serve answers it at the far side, at once or later. done gets the first answer, or an error after the
// time-out: the request may then have had an effect, or may still have one, unless the error is errUnsent.
func call[A any](m *partitionModel, from, to string, timeout time.Duration, serve func(reply func(A)), done func(A, error)) {
	over := false
	end := func(a A, err error) {
		m.whenAwake(from, func() {
			if !over {
				over = true
				done(a, err)
			}
		})
	}
	sent := m.send(from, to, func() {
		m.whenAwake(to, func() { serve(func(a A) { m.send(to, from, func() { end(a, nil) }) }) })
	})
	err := errLate
	if !sent && m.chance(0.5) {
		err = errUnsent
	}
	m.after(timeout, func() {
		var none A
		end(none, err)
	})
}

// disturb cuts or slows down a part of the network or pauses a node, and comes again some time later.
func (m *partitionModel) disturb() {
	if m.now >= faultTime {
		return
	}
	pause := m.between(500*time.Millisecond, 6*time.Second)
	inSteps := m.options.cutNodesFirst || m.options.cutWorkersFirst
	if inSteps {
		pause += 15 * time.Second
	}
	m.after(pause, m.disturb)
	m.cuts++
	if s := m.latestSession(); s != nil && (inSteps || m.chance(0.1)) {
		m.cutInSteps(s.node)
		return
	}
	if s := m.latestSession(); s != nil && m.chance(0.08) {
		length := m.between(500*time.Millisecond, 12*time.Second)
		m.logf(s.node.name, "", "is paused for %v", length.Round(time.Millisecond))
		m.frozenUntil[s.node.name] = m.now + length
		return
	}
	inside, outside := m.chooseSides()
	length := m.between(time.Second, 30*time.Second)
	if m.chance(0.5) {
		length = m.between(time.Second, 9*time.Second)
	}
	in, out := true, true
	switch m.rand.IntN(4) {
	case 0:
		in = false
	case 1:
		out = false
	}
	slow := time.Duration(0)
	if m.chance(0.2) {
		slow = m.between(100*time.Millisecond, longestDelay)
	}
	m.disturbLinks(inside, outside, out, in, length, slow)
}

const (
	// lateOrders is the share of orders that get no answer and are carried out later, by up to latestOrder.
	lateOrders    = 0.06
	earliestOrder = 2 * time.Second
	latestOrder   = 12 * time.Second
)

// losesOrder reports whether an order gets no answer and is carried out late.
func (m *partitionModel) losesOrder() bool {
	return m.options.lateOrders && m.now < faultTime && m.chance(lateOrders)
}

// restartWorkers crashes a worker from time to time.
func (m *partitionModel) restartWorkers() {
	if m.now >= faultTime {
		return
	}
	m.after(m.between(time.Second, 8*time.Second), m.restartWorkers)
	m.workers[m.rand.IntN(len(m.workers))].restart()
}

// cutInSteps cuts the scheduling node off from another node or some workers, and some seconds later its data centre from everything else.
// Another node then takes over that the replaced one has not heard of for long, or extends leases that the replaced one has not extended
// for long.
func (m *partitionModel) cutInSteps(n *modelNode) {
	centre := (n.centre + 1 + m.rand.IntN(modelCentres-1)) % modelCentres
	first, length, gap := []string{m.nodes[centre].name}, m.between(20*time.Second, 30*time.Second), m.between(time.Second, 7*time.Second)
	switch {
	case m.options.cutNodesFirst:
		first, length, gap = nil, 40*time.Second, m.between(time.Second, 20*time.Second)
		for _, o := range m.nodes {
			if o != n {
				first = append(first, o.name)
			}
		}
	case m.options.cutWorkersFirst || m.chance(0.5):
		first, length = nil, m.between(7*time.Second, 12*time.Second)
		for i := centre; i < modelWorkers; i += modelCentres {
			first = append(first, m.workers[i].name)
		}
	}
	m.disturbLinks([]string{n.name}, first, true, true, length, 0)
	m.after(gap, func() {
		if m.now < faultTime {
			inside, outside := m.centreSides(n.centre)
			m.disturbLinks(inside, outside, true, true, length, 0)
		}
	})
}

func (m *partitionModel) disturbLinks(inside, outside []string, out, in bool, length, slow time.Duration) {
	m.logf("network", "", "%v and %v for %v: outward %t, inward %t, slow %v", inside, outside, length.Round(time.Millisecond), out, in, slow)
	for _, a := range inside {
		for _, b := range outside {
			if out {
				m.disturbLink(link{a, b}, length, slow)
			}
			if in {
				m.disturbLink(link{b, a}, length, slow)
			}
		}
	}
}

func (m *partitionModel) names() []string {
	var names []string
	for _, n := range m.nodes {
		names = append(names, n.name)
	}
	for _, w := range m.workers {
		names = append(names, w.name)
	}
	return append(names, storeName)
}

// centreSides returns the machines of a data centre, and all others.
func (m *partitionModel) centreSides(centre int) (inside, outside []string) {
	for _, name := range m.names() {
		if name != storeName && centreOf(name) == centre {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

func (m *partitionModel) disturbLink(l link, length, slow time.Duration) {
	s := m.links[l]
	if s == nil {
		s = &linkState{}
		m.links[l] = s
	}
	if slow > 0 {
		s.slowUntil, s.slowBy = max(s.slowUntil, m.now+length), slow
	} else {
		s.cutUntil = max(s.cutUntil, m.now+length)
	}
}

// chooseSides returns two groups of machines whose links are disturbed.
func (m *partitionModel) chooseSides() (inside, outside []string) {
	names := m.names()
	centre := m.rand.IntN(modelCentres)
	node := m.nodes[m.rand.IntN(len(m.nodes))].name
	if s := m.latestSession(); s != nil && m.chance(0.6) {
		node, centre = s.node.name, s.node.centre
	}
	switch m.rand.IntN(6) {
	case 0, 1:
		return m.centreSides(centre)
	case 2:
		return []string{node}, []string{storeName}
	case 3:
		return []string{node}, names[len(m.nodes) : len(names)-1]
	case 4:
		names = slices.DeleteFunc(names, func(name string) bool { return name == node })
		return []string{node}, []string{names[m.rand.IntN(len(names))]}
	}
	// A part of the machines loses one node, or all machines lose the store for a short time.
	if m.chance(0.8) {
		for _, name := range names {
			if name != node && m.chance(0.5) {
				outside = append(outside, name)
			}
		}
		return []string{node}, outside
	}
	return []string{storeName}, names[:len(names)-1]
}

// centreOf returns the data centre of a node or worker by the number in its name.
func centreOf(name string) int {
	n, err := strconv.Atoi(strings.TrimLeft(name, "nw"))
	if err != nil {
		panic(err)
	}
	return n % modelCentres
}
