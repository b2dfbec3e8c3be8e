package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// workTTL is the age from which a peer's report of its work is no longer used.
	workTTL = demandTTL
	// loadCall identifies configuration writes of load moves.
	loadCall = "load"
)

// PoolWork is the number of a pool's slots that are needed for the work of one node.
type PoolWork struct {
	Pool  string
	Slots int
}

// loadState tracks the demand on the pools while the configuration allows nodes to move instances between pools.
type loadState struct {
	history berylplan.DemandHistory
	// lastNoted is when a demand was last added to the history.
	lastNoted time.Duration
	// due is true while the demand calls for moves under the configuration version; dueSince is when it began to.
	due      bool
	version  uint64
	dueSince time.Duration
	// refusals holds, by pool, why the last search found no move for its demand.
	refusals map[string]berylplan.RefusalReason
}

// workByPool returns the work of this node for each pool that is not a spare pool: requests that wait or run, and running
// tasks. Waiting tasks don't count, since they can wait for spare slots. The result is nil if load moves are disabled.
func (r *Reducer) workByPool() []PoolWork {
	if !r.config.LoadMoves {
		return nil
	}
	tasks := map[string]int{}
	for _, t := range r.tasks.active {
		if t.holdsSlot {
			tasks[r.config.Queues[t.Queue].Pool]++
		}
	}
	out := make([]PoolWork, 0, len(r.config.Pools))
	for _, name := range beryllatch.SortedKeys(r.config.Pools) {
		if r.config.Pools[name].Spare {
			continue
		}
		w := PoolWork{Pool: name, Slots: tasks[name]}
		if p := r.pools[name]; p != nil {
			w.Slots += p.active + p.queue.len()
		}
		out = append(out, w)
	}
	return out
}

// totalWork sums the work of all nodes. It reports false while there is no recent report from some node.
func (r *Reducer) totalWork() (map[string]int, bool) {
	total := map[string]int{}
	add := func(list []PoolWork) {
		for _, w := range list {
			total[w.Pool] += w.Slots
		}
	}
	add(r.workByPool())
	for _, m := range r.members {
		if m.expired || m.absent {
			continue
		}
		if len(m.work) == 0 || r.now.Mono-m.workAt > workTTL {
			return nil, false
		}
		add(m.work)
	}
	return total, true
}

// neededInstances returns the number of instances that each pool needs for its work, at the mean number of slots of the
// pool's instances; a pool without instances uses the mean of all instances.
func (r *Reducer) neededInstances(total map[string]int) map[string]int {
	instances, slots := map[string]int{}, map[string]int{}
	all := 0
	for _, i := range r.config.Instances {
		instances[i.Pool]++
		slots[i.Pool] += i.Slots
		all += i.Slots
	}
	out := map[string]int{}
	for name, p := range r.config.Pools {
		if p.Spare {
			continue
		}
		n, capacity := instances[name], slots[name]
		if n == 0 {
			n, capacity = len(r.config.Instances), all
		}
		if capacity > 0 {
			out[name] = (total[name]*n + capacity - 1) / capacity
		}
	}
	return out
}

// tickLoadMoves records the demand and starts the moves that it calls for, if it is this node's turn.
func (r *Reducer) tickLoadMoves() {
	l := &r.operate.load
	if !r.config.LoadMoves {
		*l = loadState{}
		return
	}
	total, ok := r.totalWork()
	if !ok || !r.allWorkersReported() {
		return
	}
	if r.now.Mono-l.lastNoted > workTTL {
		l.history = berylplan.DemandHistory{}
	}
	l.lastNoted = r.now.Mono
	h := r.health()
	l.history.Note(r.now.Mono, r.neededInstances(total), berylplan.CountServing(r.config, h))
	if r.operate.write == nil {
		r.moveForLoad(h)
	}
}

// moveForLoad writes the due load moves to the configuration. The nodes try one after another, in order of rank.
func (r *Reducer) moveForLoad(h berylplan.Health) {
	l := &r.operate.load
	moves, refused := berylplan.LoadMoves(r.config, h, l.history.Demands(r.now.Mono))
	r.countMoveRefusals(refused)
	if l.version != r.config.Version || len(moves) == 0 {
		l.version, l.due = r.config.Version, false
	}
	if len(moves) == 0 {
		return
	}
	if !l.due {
		l.due, l.dueSince = true, r.now.Mono
	}
	if r.now.Mono-l.dueSince < time.Duration(r.rank())*stepStagger {
		return
	}
	changes := make([]berylplan.Change, 0, len(moves))
	for _, m := range moves {
		changes = append(changes, m.LendInstance)
	}
	next, err := berylplan.Apply(r.config, h, changes...)
	if err != nil {
		r.count("move_invalid")
		return
	}
	r.writeConfig(loadCall, next).moves = moves
}

// countMoveRefusals counts the demands for which there is no move: only when the reason of a pool changes, and only at the
// node of rank 0.
func (r *Reducer) countMoveRefusals(list []berylplan.LoadRefusal) {
	l := &r.operate.load
	previous := l.refusals
	l.refusals = map[string]berylplan.RefusalReason{}
	for _, x := range list {
		l.refusals[x.Pool] = x.Reason
		if previous[x.Pool] != x.Reason && r.rank() == 0 {
			r.count("move_refused_" + string(x.Reason))
		}
	}
}

// movesWritten counts and logs the moves of a write that took effect.
func (r *Reducer) movesWritten(moves []berylplan.LoadMove) {
	for _, m := range moves {
		r.count("move_" + string(m.Reason))
		r.emit(LogState{Subject: "instance " + m.ID, To: string(m.Reason), Detail: "to pool " + m.Pool})
	}
}
