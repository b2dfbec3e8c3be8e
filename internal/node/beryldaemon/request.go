package beryldaemon

import "github.com/beryllatch/beryllatch/internal/decision/berylreducer"

// effectBuffer is the number of effects of one request that may wait for its handler; further ones are dropped and
// counted as directive_dropped.
const effectBuffer = 8

// Submit posts the arrival of a request and returns the channel on which its handler receives the effects that concern
// it.
func (d *Daemon) Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect {
	d.gcTuner.requests.Add(1)
	ch := make(chan berylreducer.Effect, effectBuffer)
	d.mu.Lock()
	d.requests[e.ID] = ch
	d.mu.Unlock()
	d.Post(e)
	return ch
}

// Release removes the channel of a request that its handler has answered, and any answer that needs no storing.
func (d *Daemon) Release(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, id)
	d.answers.dropUnlessStoring(id)
}

// KeepAnswer holds the complete answer to a request with an idempotency key until the outcome is stored in the key's claim.
func (d *Daemon) KeepAnswer(id string, a Answer) { d.answers.put(id, a) }

// deliver passes an effect to the handler of the request without blocking.
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
