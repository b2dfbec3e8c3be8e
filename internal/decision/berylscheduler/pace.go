package berylscheduler

import "github.com/beryllatch/beryllatch"

const (
	// slowDownAbove is the share of its target for the tail latency above which a serving task slows the fillers beside it.
	slowDownAbove = 0.9
	// speedUpBelow is the share of the target below which fillers may speed up.
	speedUpBelow = 0.6
	// paceIncrement is by how many percentage points fillers speed up at a time; to slow down, their pace is halved.
	paceIncrement = 10
	// minPace is the slowest pace in percent, other than 0.
	minPace = 5
)

// adjustPace sets the pace of the fillers on a worker by the serving task that is closest to its tail latency target: they slow
// down fast and speed up slowly.
func (s *Scheduler) adjustPace(w *worker) {
	if !w.runsFiller() {
		return
	}
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
		case worst > slowDownAbove && pace <= minPace:
			pace = 0
		case worst > slowDownAbove:
			pace = max(pace/2, minPace)
		case worst < speedUpBelow:
			pace = min(pace+paceIncrement, 100)
		}
		if pace == r.pace || r.pacePending {
			continue
		}
		r.pacePending = true
		s.emit(PaceRun{Worker: w.address(), Order: beryllatch.PaceOrder{
			Task: r.id.task, Run: r.id.n, Percent: pace, Fence: w.fence,
		}})
	}
}

// runsFiller reports whether the worker has a run of a filler.
func (w *worker) runsFiller() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.spec.Filler {
			return true
		}
	}
	return false
}

// mustPaceFillers reports whether the worker has both fillers and tasks with a tail latency target, which need frequent answers.
func (w *worker) mustPaceFillers() bool {
	serving := false
	for _, r := range w.runs {
		serving = serving || r.task != nil && r.task.step.spec.TailTarget > 0
	}
	return serving && w.runsFiller()
}

func (s *Scheduler) paceEnded(e PaceEnded) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.pacePending = false
	if e.Err == nil && e.Fence == w.fence {
		r.pace = e.Percent
	}
}
