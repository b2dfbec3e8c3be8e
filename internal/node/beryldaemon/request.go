package beryldaemon

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// directiveBuffer holds the effects of one request that its handler has not read yet.
const directiveBuffer = 8

// Submit posts the arrival of a request; the channel delivers the effects that concern it.
func (d *Daemon) Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect {
	d.collector.arrived.Add(1)
	ch := make(chan berylreducer.Effect, directiveBuffer)
	d.mu.Lock()
	d.requests[e.ID] = ch
	d.mu.Unlock()
	d.Post(e)
	return ch
}

// Release forgets the channel of a request that its handler has answered.
func (d *Daemon) Release(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, id)
	d.answers.release(id)
}

// KeepAnswer holds the whole answer of a keyed request until its claim is settled.
func (d *Daemon) KeepAnswer(id string, a Answer) { d.answers.put(id, a) }

func (d *Daemon) deliver(id string, x berylreducer.Effect) {
	d.mu.Lock()
	ch := d.requests[id]
	d.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- x:
	default:
		d.Metrics.Count("directive_dropped", 1)
	}
}
