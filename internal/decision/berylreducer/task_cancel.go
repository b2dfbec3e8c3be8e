package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// maxStops bounds the StopTask calls in flight, so that a wave of cancellations does not hold up renewals.
const maxStops = 64

// cancelLoaded stops a task whose row asks for it.
func (r *Reducer) cancelLoaded(t *queuedTask) {
	t.CancelRequested = true
	switch t.phase {
	case phaseQueued, phaseResting:
		r.finishTask(t, beryllatch.TaskCancelled, "")
	case phaseRunning, phaseAsking:
		if t.calling {
			return
		}
		t.phase = phaseStopping
		t.next = r.now.Mono
		r.activate(t)
	case phaseWriting, phaseSending, phaseFencing, phaseStopping, phaseCollecting, phaseFinishing:
	}
}

func (r *Reducer) countStops() {
	r.tasks.stopsSent = 0
	for _, t := range r.tasks.active {
		if (t.phase == phaseFencing || t.phase == phaseStopping) && t.calling {
			r.tasks.stopsSent++
		}
	}
}

func (r *Reducer) stopTask(t *queuedTask) {
	if r.tasks.stopsSent >= maxStops {
		return
	}
	if _, ok := r.config.Instances[t.Instance]; !ok {
		r.giveUpSilent(t)
		return
	}
	r.tasks.stopsSent++
	r.call(t)
	r.emit(StopTask{Execution: r.execution(t)})
}
