package berylscheduler

import "github.com/beryllatch/beryllatch"

const (
	// paceDown is the share of its target above which a tail slows the fillers beside it.
	paceDown = 0.9
	// paceUp is the share of its target below which the fillers may work faster.
	paceUp = 0.6
	// paceStep is by how many percent fillers speed up at a time; they slow down by half.
	paceStep = 10
	// paceLeast is the slowest pace but 0.
	paceLeast = 5
)

// checkPace slows the fillers of a worker when a serving task nears its target: fast down, slowly up.
func (s *Scheduler) checkPace(w *worker) {
	worst := 0.0
	var fillers []*run
	for _, r := range s.runsOf(w) {
		if r.task == nil || r.phase != runPresent {
			continue
		}
		spec := r.task.step.spec
		if spec.TailTarget > 0 {
			worst = max(worst, float64(r.load)/float64(spec.TailTarget.Milliseconds()))
		}
		if spec.Filler {
			fillers = append(fillers, r)
		}
	}
	for _, r := range fillers {
		pace := r.pace
		switch {
		case worst > paceDown && pace <= paceLeast:
			pace = 0
		case worst > paceDown:
			pace = max(pace/2, paceLeast)
		case worst < paceUp:
			pace = min(pace+paceStep, 100)
		}
		if pace == r.pace || r.pacing {
			continue
		}
		r.pacing = true
		s.emit(PaceRun{Worker: w.address(), Incarnation: w.info.Incarnation, Order: beryllatch.PaceOrder{
			Task: r.id.task, Run: r.id.n, Percent: pace, Fence: s.Epoch,
		}})
	}
}

// watched reports whether the worker's tails must be looked at often.
func (w *worker) watched() bool {
	serving, filling := false, false
	for _, r := range w.runs {
		if r.task != nil {
			serving = serving || r.task.step.spec.TailTarget > 0
			filling = filling || r.task.step.spec.Filler
		}
	}
	return serving && filling
}

func (s *Scheduler) paceEnded(e PaceEnded) {
	w := s.workers[e.Worker]
	if w == nil || w.info.Incarnation != e.Incarnation {
		return
	}
	r := w.runs[runID{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.pacing = false
	if e.Err == nil {
		r.pace = e.Percent
	}
}
