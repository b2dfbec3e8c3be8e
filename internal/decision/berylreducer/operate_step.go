package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// stepInterval is the time between two searches for due steps. A search takes about 2 ms with 630 instances, and a node
	// may use 1.6% of a core in all.
	stepInterval = time.Second
	// stepStagger is the delay between the nodes in order of rank, so that a step of one node is usually in force before the
	// next node would take it.
	stepStagger = 1500 * time.Millisecond
	// rebootRetryInterval is the time after which a reboot is requested again, since the request had no effect or the node
	// that should have sent it crashed.
	rebootRetryInterval = 10 * time.Second
	// stepCall identifies configuration writes of maintenance steps.
	stepCall = "step"
)

// stepState tracks since when steps have been due under the current configuration.
type stepState struct {
	// searchedAt is when the node last searched for due steps.
	searchedAt time.Duration
	version    uint64
	due        bool
	dueSince   time.Duration
}

// tickSteps takes the due steps of waves and moves and starts load moves, if the node has a tenure and it is its turn.
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

// mayHaveSteps reports whether a search for due steps can find any: only if an instance is not active or a wave is running.
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

// allWorkersReported reports whether every worker has reported since the node started. Before that, the node would treat the
// missing workers as failed, and stop the waves.
func (r *Reducer) allWorkersReported() bool {
	for id := range r.config.Instances {
		if _, ok := r.operate.workerLoads[id]; !ok {
			return false
		}
	}
	return true
}

// takeSteps writes the due steps to the configuration. The nodes try one after another, in order of rank.
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

// stepsWritten logs the steps that a write has recorded and requests their reboots. If the write is not known to have taken
// effect, for example because another node's write came first, it only reads the current document.
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

// requestReboot requests the reboot of an instance that is recorded as rebooting. If this node cannot prove that its
// configuration is up to date, it leaves the request to another node.
func (r *Reducer) requestReboot(id string) {
	i := r.config.Instances[id]
	if i.State != beryllatch.InstanceRebooting || !r.mayTransfer() {
		return
	}
	r.emit(RebootWorker{Instance: id, Address: i.Address, BootID: i.BootID})
}

// retryReboots repeats the requests for instances that still have their old boot id. Nodes of higher rank wait longer.
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
