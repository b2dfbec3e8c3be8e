package berylreducer

import "time"

const (
	// sweepInterval is the time between two sweeps, which delete the objects of a shard that are due.
	sweepInterval = 30 * time.Second
	// sweepBacklogInterval applies instead while more objects are due. With sweepLimit, 64 shards delete at most 128
	// objects a second, a moderate part of the several hundred writes a second that the platform takes.
	sweepBacklogInterval = 10 * time.Second
	sweepLimit           = 20
)

// SweepObjects deletes objects of a shard's tasks that were due at Now.
type SweepObjects struct {
	Shard int
	Epoch uint32
	Now   time.Time
	// Limit bounds the number of tasks.
	Limit int
}

// ObjectsSwept reports the outcome of a SweepObjects effect.
type ObjectsSwept struct {
	Shard int
	Epoch uint32
	// Deleted counts the objects that were deleted.
	Deleted int
	// More is true when the sweep stopped at the limit.
	More bool
}

func (SweepObjects) effect() {}
func (ObjectsSwept) event()  {}

// sweepShard deletes the due objects of an owned shard. It is harmless if a former owner does so at the same time, since
// an object that is due is never needed again.
func (r *Reducer) sweepShard(s *shard) {
	if !r.owns(s) || s.sweeping || r.now.Mono < s.nextSweep || r.taskOutage() {
		return
	}
	s.sweeping = true
	r.emit(SweepObjects{Shard: s.Shard, Epoch: s.Epoch, Now: r.now.Wall, Limit: sweepLimit})
}

func (r *Reducer) objectsSwept(e ObjectsSwept) {
	if e.Deleted > 0 {
		r.emit(Count{Name: "object_deleted", N: int64(e.Deleted)})
	}
	s := &r.tasks.shards[e.Shard]
	if s.Epoch != e.Epoch {
		return
	}
	s.sweeping = false
	s.nextSweep = r.now.Mono + sweepInterval
	if e.More {
		s.nextSweep = r.now.Mono + sweepBacklogInterval
	}
}
