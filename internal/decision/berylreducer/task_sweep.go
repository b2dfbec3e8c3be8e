package berylreducer

import "time"

const (
	// sweepInterval spaces the looks at a shard's objects that are due for deletion.
	sweepInterval = 30 * time.Second
	// sweepPace spaces them while more is due. With sweepLimit, 64 shards delete 128 objects a second at most, beside the
	// several hundred writes a second that the platform takes.
	sweepPace  = 10 * time.Second
	sweepLimit = 20
)

// SweepObjects deletes objects of a shard's tasks that were due at Now.
type SweepObjects struct {
	Shard int
	Epoch uint32
	Now   time.Time
	// Limit bounds the number of tasks.
	Limit int
}

// ObjectsSwept reports the end of a SweepObjects effect.
type ObjectsSwept struct {
	Shard int
	Epoch uint32
	// Deleted counts the objects that were deleted.
	Deleted int
	// More is true when the limit ended the sweep.
	More bool
}

func (SweepObjects) effect() {}
func (ObjectsSwept) event()  {}

// sweepShard deletes what is due in an owned shard. Two owners at a time do no harm: what is due is due for good.
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
		s.nextSweep = r.now.Mono + sweepPace
	}
}
