package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

const (
	// workAge is the age at which a peer's report of its work is no longer used.
	workAge  = demandAge
	loadCall = "load"
)

// PoolWork is the number of slots of a pool that the work at one node takes.
type PoolWork struct {
	Pool  string
	Slots int
}

// loadState follows the demand on the pools while the configuration lets nodes move instances for load.
type loadState struct {
	history berylplan.DemandHistory
	noted   time.Duration
	// due says since when moves have been due under the present configuration.
	due     bool
	version uint64
	since   time.Duration
	refused map[string]berylplan.RefusalReason
}

// work returns the work of this node for each pool that is no spare pool: requests that wait or run, and running
// tasks. Tasks that wait have the time to use the load troughs. It is empty while nodes don't move instances for load.
func (r *Reducer) work() []PoolWork {
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

// totalWork adds up the work of all nodes; it reports false while a node has not been heard of lately.
func (r *Reducer) totalWork() (map[string]int, bool) {
	total := map[string]int{}
	add := func(list []PoolWork) {
		for _, w := range list {
			total[w.Pool] += w.Slots
		}
	}
	add(r.work())
	for _, m := range r.members {
		if m.lapsed || m.absent {
			continue
		}
		if len(m.work) == 0 || r.now.Mono-m.workAt > workAge {
			return nil, false
		}
		add(m.work)
	}
	return total, true
}

// needs returns the instances that the work takes, by the pools' mean slots as they are declared.
func (r *Reducer) needs(total map[string]int) map[string]int {
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
		n, of := instances[name], slots[name]
		if n == 0 {
			n, of = len(r.config.Instances), all
		}
		if of > 0 {
			out[name] = (total[name]*n + of - 1) / of
		}
	}
	return out
}

// tickLoads begins the moves that the demand calls for, if it is this node's turn.
func (r *Reducer) tickLoads() {
	l := &r.operate.loads
	if !r.config.LoadMoves {
		*l = loadState{}
		return
	}
	total, ok := r.totalWork()
	if !ok || !r.heardOfAll() {
		return
	}
	if r.now.Mono-l.noted > workAge {
		l.history = berylplan.DemandHistory{}
	}
	l.noted = r.now.Mono
	h := r.health()
	l.history.Note(r.now.Mono, r.needs(total), berylplan.CountServing(r.config, h))
	if r.operate.write == nil {
		r.moveForLoad(h)
	}
}

func (r *Reducer) moveForLoad(h berylplan.Health) {
	l := &r.operate.loads
	moves, refused := berylplan.LoadMoves(r.config, h, l.history.Demands(r.now.Mono))
	r.countMoveRefusals(refused)
	if l.version != r.config.Version || len(moves) == 0 {
		l.version, l.due = r.config.Version, false
	}
	if len(moves) == 0 {
		return
	}
	if !l.due {
		l.due, l.since = true, r.now.Mono
	}
	if r.now.Mono-l.since < time.Duration(r.rank())*stepStagger {
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

// countMoveRefusals counts a demand that stays unmet once for each reason, at the first node only.
func (r *Reducer) countMoveRefusals(list []berylplan.LoadRefusal) {
	l := &r.operate.loads
	before := l.refused
	l.refused = map[string]berylplan.RefusalReason{}
	for _, x := range list {
		l.refused[x.Pool] = x.Reason
		if before[x.Pool] != x.Reason && r.rank() == 0 {
			r.count("move_refused_" + string(x.Reason))
		}
	}
}

// movesWritten counts the moves of a write that took effect.
func (r *Reducer) movesWritten(moves []berylplan.LoadMove) {
	for _, m := range moves {
		r.count("move_" + string(m.Reason))
		r.emit(LogState{Subject: "instance " + m.ID, To: string(m.Reason), Detail: "to pool " + m.Pool})
	}
}
