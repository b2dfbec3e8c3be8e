package berylreducer

import (
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	loadPage     = 100
	pollInterval = time.Second
	// A shard whose last maxEmptyPolls polls found no tasks is polled only every idlePollInterval. At pollInterval, polls of
	// such shards are half of an idle node's table calls, and each takes about 0.9 ms of processor time.
	maxEmptyPolls    = 10
	idlePollInterval = 2 * time.Second
	// loadInterval is the least pause between two pages of a shard, loadIntervalPerTask the pause for each row of the
	// last page. The repeated passes find only what polls cannot: rows that did not fit into memory, and submissions that
	// took longer than pollWindow. A row takes about 0.5 KB of the node's traffic, a pass over an empty shard 1 KB and 0.9
	// ms of processor time.
	loadInterval        = 10 * time.Second
	loadIntervalPerTask = 100 * time.Millisecond
	// pollWindow bounds the time from the creation of a task id to the end of the write of its row, including the
	// difference between the nodes' clocks.
	pollWindow = 30 * time.Second
	// maxLoaded bounds the loaded tasks of a shard; a loaded task takes about 1 KB of memory.
	maxLoaded = 256
)

// loadShard reads the next page of an owned shard, and starts over after the last page.
func (r *Reducer) loadShard(s *shard) {
	if s.state != shardOwned || s.loading || r.now.Mono < s.nextLoad || r.taskOutage() {
		return
	}
	s.loading = true
	r.emit(LoadTasks{Shard: s.Shard, Epoch: s.Epoch, After: s.loadAfter, Limit: loadPage})
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
	s.nextLoad = r.now.Mono + max(loadInterval, time.Duration(len(e.Tasks))*loadIntervalPerTask)
	if len(e.Tasks) < loadPage {
		s.loadAfter, s.loaded = "", true
		return
	}
	s.loadAfter = e.Tasks[len(e.Tasks)-1].ID
	if !s.loaded {
		s.nextLoad = r.now.Mono
	}
}

// pollShard reads the new tasks and the cancellations of an owned shard.
func (r *Reducer) pollShard(s *shard) {
	if !r.owns(s) || s.polling || r.now.Mono < s.nextPoll || r.taskOutage() {
		return
	}
	s.polling = true
	after := firstIDAt(r.now.Wall.Add(-pollWindow))
	// Cancellations matter only for loaded tasks. The next poll reads that of a task which this one finds.
	r.emit(PollShard{Shard: s.Shard, Epoch: s.Epoch, After: after, Limit: loadPage, SkipCancels: len(s.tasks) == 0})
}

// firstIDAt returns a string that sorts before all task ids created at or after the given time.
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
	s.emptyPolls++
	if e.Failed || len(e.Tasks)+len(s.tasks) > 0 {
		s.emptyPolls = 0
	}
	s.nextPoll = r.now.Mono + pollInterval
	if s.emptyPolls >= maxEmptyPolls {
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

// loadTask loads a stored row, unless the shard already has maxLoaded tasks with earlier deadlines. For a task that is
// loaded already, it applies the row's changes.
func (r *Reducer) loadTask(s *shard, row StoredTask) {
	if t := r.tasks.tasks[row.ID]; t != nil {
		r.applyRowChange(t, row)
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

// evictLater drops the waiting task with the latest deadline from memory, if that deadline is later than the given one.
func (r *Reducer) evictLater(s *shard, deadline time.Time) bool {
	var latest *queuedTask
	for _, id := range beryllatch.SortedKeys(s.tasks) {
		t := s.tasks[id]
		if t.phase == phaseQueued && !t.writing && !t.reading && !t.dirty && (latest == nil || t.Deadline.After(latest.Deadline)) {
			latest = t
		}
	}
	if latest == nil || !latest.Deadline.After(deadline) {
		return false
	}
	r.dropTask(latest)
	return true
}

// applyRowChange applies a change that another node made to the row, which can only be a cancellation.
func (r *Reducer) applyRowChange(t *queuedTask, row StoredTask) {
	if t.writing || t.reading || t.uncertain || row.Version <= t.version {
		return
	}
	t.version = row.Version
	if row.CancelRequested {
		r.cancelLoaded(t)
	}
}
