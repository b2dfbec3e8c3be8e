package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	loadPage     = 100
	loadInterval = time.Second
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
	s.nextLoad = r.now.Mono + loadInterval
	if e.Failed {
		return
	}
	for _, row := range e.Tasks {
		r.loadTask(s, row)
	}
	s.after = ""
	if len(e.Tasks) >= loadPage {
		s.after = e.Tasks[len(e.Tasks)-1].ID
		s.nextLoad = r.now.Mono
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
