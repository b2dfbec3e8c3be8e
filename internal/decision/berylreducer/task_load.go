package berylreducer

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	loadPage     = 100
	pollInterval = time.Second
	// A shard whose last idlePolls polls found it without tasks is polled every idlePollInterval. Half of a resting node's
	// table calls were polls of such shards, each with about 0.9 ms of processor time.
	idlePolls        = 10
	idlePollInterval = 2 * time.Second
	// loadInterval and loadPace space the repeated passes over a shard. They only find what polls cannot: rows that did
	// not fit into memory, and submissions slower than pollWindow. A row takes about 0.5 KB of the node's traffic, a pass
	// over an empty shard 1 KB and 0.9 ms of processor time.
	loadInterval = 10 * time.Second
	loadPace     = 100 * time.Millisecond
	// pollWindow covers the time from the making of a task id to the end of its write, and the difference of clocks.
	pollWindow = 30 * time.Second
	// maxLoaded bounds the loaded tasks of a shard; a loaded task takes about 1 KB.
	maxLoaded = 256
)

// loadShard reads the next page of an owned shard; pages follow each other and start over at the end.
func (r *Reducer) loadShard(s *shard) {
	if s.state != shardOwned || s.loading || r.now.Mono < s.nextLoad || r.taskOutage() {
		return
	}
	s.loading = true
	r.emit(LoadTasks{Shard: s.Shard, Epoch: s.Epoch, After: s.after, Limit: loadPage})
}

func (r *Reducer) tasksLoaded(e TasksLoaded) {
	s := &r.tasks.shards[e.Shard]
	if s.state == shardForeign || s.Epoch != e.Epoch {
		return
	}
	s.loading = false
	s.nextLoad = r.now.Mono + pollInterval
	if e.Failed {
		return
	}
	for _, row := range e.Tasks {
		r.loadTask(s, row)
	}
	s.nextLoad = r.now.Mono + max(loadInterval, time.Duration(len(e.Tasks))*loadPace)
	if len(e.Tasks) < loadPage {
		s.after, s.loaded = "", true
		return
	}
	s.after = e.Tasks[len(e.Tasks)-1].ID
	if !s.loaded {
		s.nextLoad = r.now.Mono
	}
}

// pollShard looks for new tasks and cancellations of an owned shard.
func (r *Reducer) pollShard(s *shard) {
	if !r.owns(s) || s.polling || r.now.Mono < s.nextPoll || r.taskOutage() {
		return
	}
	s.polling = true
	after := firstIDAt(r.now.Wall.Add(-pollWindow))
	// A cancellation concerns a loaded task only; that of a task which this poll finds is read by the next one.
	r.emit(PollShard{Shard: s.Shard, Epoch: s.Epoch, After: after, Limit: loadPage, SkipCancels: len(s.tasks) == 0})
}

// firstIDAt returns a text that sorts before the ids made from the given time on.
func firstIDAt(t time.Time) string {
	ms := uint64(t.UnixMilli())
	return fmt.Sprintf("%08x-%04x", ms>>16, ms&0xffff)
}

func (r *Reducer) shardPolled(e ShardPolled) {
	s := &r.tasks.shards[e.Shard]
	if s.state == shardForeign || s.Epoch != e.Epoch {
		return
	}
	s.polling = false
	s.idlePolls++
	if e.Failed || len(e.Tasks)+len(s.tasks) > 0 {
		s.idlePolls = 0
	}
	s.nextPoll = r.now.Mono + pollInterval
	if s.idlePolls >= idlePolls {
		s.nextPoll = r.now.Mono + idlePollInterval
	}
	for _, row := range e.Tasks {
		r.loadTask(s, row)
	}
	for _, id := range e.Cancelled {
		if t := r.tasks.tasks[id]; t != nil && !t.CancelRequested {
			r.readRow(t)
		}
	}
}

// loadTask takes a stored row over, unless memory is full of tasks with earlier deadlines.
func (r *Reducer) loadTask(s *shard, row StoredTask) {
	if t := r.tasks.tasks[row.ID]; t != nil {
		r.rowSeen(t, row)
		return
	}
	if len(s.tasks) >= maxLoaded && !r.evictLater(s, row.Deadline) {
		r.count("task_not_loaded")
		return
	}
	t := &queuedTask{Task: row.Task, shard: s, version: row.Version}
	s.tasks[t.ID], r.tasks.tasks[t.ID] = t, t
	if t.State == beryllatch.TaskQueued {
		r.makeReady(t)
		return
	}
	r.takeOver(t)
}

// evictLater drops the waiting task with the latest deadline if that is later than the given one.
func (r *Reducer) evictLater(s *shard, deadline time.Time) bool {
	var worst *queuedTask
	for _, id := range beryllatch.SortedKeys(s.tasks) {
		t := s.tasks[id]
		if t.phase == phaseQueued && !t.writing && !t.reading && !t.dirty && (worst == nil || t.Deadline.After(worst.Deadline)) {
			worst = t
		}
	}
	if worst == nil || !worst.Deadline.After(deadline) {
		return false
	}
	r.dropTask(worst)
	return true
}

// rowSeen notes a change that another node made to the row, which can only be a cancellation.
func (r *Reducer) rowSeen(t *queuedTask, row StoredTask) {
	if t.writing || t.reading || t.uncertain || row.Version <= t.version {
		return
	}
	t.version = row.Version
	if row.CancelRequested {
		r.cancelLoaded(t)
	}
}
