package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// maxStops bounds the StopTask effects in flight, so that many simultaneous cancellations do not delay lease renewals.
const maxStops = 64

// cancelLoaded cancels a loaded task after its cancellation was stored in the row.
func (r *Reducer) cancelLoaded(t *queuedTask) {
	t.CancelRequested = true
	switch t.phase {
	case phaseQueued, phasePaused:
		r.finishTask(t, beryllatch.TaskCancelled, "")
	case phaseRunning, phaseQuerying:
		if t.calling {
			return
		}
		t.phase = phaseStopping
		t.nextStep = r.now.Mono
		r.activate(t)
	case phaseWriting, phaseSending, phaseFencing, phaseStopping, phaseCollecting, phaseFinishing:
	}
}

func (r *Reducer) countStopsInFlight() {
	r.tasks.stopsInFlight = 0
	for _, t := range r.tasks.active {
		if (t.phase == phaseFencing || t.phase == phaseStopping) && t.calling {
			r.tasks.stopsInFlight++
		}
	}
}

func (r *Reducer) stopTask(t *queuedTask) {
	if r.tasks.stopsInFlight >= maxStops {
		return
	}
	if _, ok := r.config.Instances[t.Instance]; !ok {
		r.awaitLeaseEnd(t)
		return
	}
	r.tasks.stopsInFlight++
	r.markCalling(t)
	r.emit(StopTask{Execution: r.execution(t)})
}
