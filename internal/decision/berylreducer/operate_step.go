package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// stepInterval bounds how often the node looks for due steps; a look takes about 2 ms at 630 instances, and a node
	// may use 1.6% of a core in all.
	stepInterval = time.Second
	// stepStagger delays each further node, so that a step of the first is usually in force before the next one tries.
	stepStagger = 1500 * time.Millisecond
	// rebootRetryInterval repeats a reboot request that had no effect, or that a dead node never sent.
	rebootRetryInterval = 10 * time.Second
	stepCall            = "step"
)

// stepState says since when steps have been due under the present configuration.
type stepState struct {
	searchedAt time.Duration
	version    uint64
	due        bool
	dueSince   time.Duration
}

// tickSteps takes the due steps of waves and moves and begins load moves, if the node has tenure and it is its turn.
func (r *Reducer) tickSteps() {
	r.trackDrains()
	s := &r.operate.steps
	if r.stopping || !r.mayTransfer() || r.operate.write != nil || len(r.operate.queue) > 0 ||
		r.now.Mono-s.searchedAt < stepInterval {
		return
	}
	s.searchedAt = r.now.Mono
	if s.version != r.config.Version {
		s.version, s.due = r.config.Version, false
	}
	if r.mayHaveSteps() && r.allWorkersReported() {
		r.takeSteps()
		r.retryReboots()
	}
	r.tickLoadMoves()
}

// mayHaveSteps spares the search when nothing is planned.
func (r *Reducer) mayHaveSteps() bool {
	if len(r.operate.drains) > 0 {
		return true
	}
	for _, w := range r.config.Waves {
		if w.State == beryllatch.WaveRunning {
			return true
		}
	}
	return false
}

// allWorkersReported reports whether every instance has been probed since the node started; until then a node that has just
// started would take the fleet for dead, and stop its waves.
func (r *Reducer) allWorkersReported() bool {
	for id := range r.config.Instances {
		if _, ok := r.operate.workerLoads[id]; !ok {
			return false
		}
	}
	return true
}

func (r *Reducer) takeSteps() {
	s := &r.operate.steps
	steps, next := berylplan.NextSteps(r.config, r.health())
	if len(steps) == 0 {
		s.due = false
		return
	}
	if !s.due {
		s.due, s.dueSince = true, r.now.Mono
	}
	if r.now.Mono-s.dueSince < time.Duration(r.rank())*stepStagger {
		return
	}
	w := r.writeConfig(stepCall, next)
	w.steps = steps
}

// stepsWritten follows up on a write of steps; whoever lost the race reads the winner's document and does nothing.
func (r *Reducer) stepsWritten(w *configWrite, result WriteResult) {
	if result != WriteDone {
		r.count(failedWriteCounter(w, result))
		r.emit(ReadConfig{})
		return
	}
	r.movesWritten(w.moves)
	for _, s := range w.steps {
		r.count("step_" + string(s.Kind))
		r.logStep(s)
		if s.Kind == berylplan.StepReboot {
			r.requestReboot(s.Instance)
		}
	}
}

// failedWriteCounter names the counter of a write that did not take effect.
func failedWriteCounter(w *configWrite, result WriteResult) string {
	if len(w.moves) > 0 {
		return "move_" + string(result)
	}
	return "step_" + string(result)
}

func (r *Reducer) logStep(s berylplan.Step) {
	subject := "instance " + s.Instance
	if s.Instance == "" {
		subject = "wave " + s.Wave
	}
	r.emit(LogState{Subject: subject, To: string(s.Kind), Detail: s.Reason})
}

// requestReboot requests the reboot of an instance that is recorded as rebooting; if the node cannot prove that its
// document is up to date, another node will ask.
func (r *Reducer) requestReboot(id string) {
	i := r.config.Instances[id]
	if i.State != beryllatch.InstanceRebooting || !r.mayTransfer() {
		return
	}
	r.emit(RebootWorker{Instance: id, Address: i.Address, BootID: i.BootID})
}

// retryReboots asks again where an instance is still on its old boot; a node further down the order waits longer.
func (r *Reducer) retryReboots() {
	wait := rebootRetryInterval + time.Duration(r.rank())*stepStagger
	for _, id := range beryllatch.SortedKeys(r.operate.drains) {
		p, i := r.operate.drains[id], r.config.Instances[id]
		if i.State != beryllatch.InstanceRebooting || r.now.Mono-p.rebootRequestedAt < wait || r.workers[id].bootID != i.BootID {
			continue
		}
		p.rebootRequestedAt = r.now.Mono
		r.operate.drains[id] = p
		r.requestReboot(id)
	}
}
