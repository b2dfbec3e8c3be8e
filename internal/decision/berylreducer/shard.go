package berylreducer

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	shardCount        = 64
	shardReadInterval = 2 * time.Second
	// shardReadSpacing is the interval per node, which applies once it exceeds shardReadInterval. Reading every 2 s, 36
	// nodes would read 1152 shard rows a second. Together with the node rows this would exceed the 2000 reads a second
	// that the platform serves whenever a node starts or stops.
	shardReadSpacing = 250 * time.Millisecond
)

// shardState is this node's role for a shard.
type shardState int

const (
	shardForeign shardState = iota
	shardOwned
	// shardReleasing means that the node starts nothing more of the shard and gives up its ownership once no write or send
	// is in flight.
	shardReleasing
)

// shard is a fixed part of all tasks, chosen by task id. Only its owner starts the tasks in it.
type shard struct {
	ShardRow
	version uint64
	// rowReadAt is when the read that delivered the row was sent; after a write of the row it is the time of the result.
	rowReadAt time.Duration
	// rowRead is true once the shard's row has been read.
	rowRead   bool
	state     shardState
	writing   bool
	nextWrite time.Duration
	tasks     map[string]*queuedTask
	// loadAfter is the task id after which the next page begins; loading marks a LoadTasks effect in flight.
	loadAfter string
	loading   bool
	nextLoad  time.Duration
	// loaded is true once all pages of the shard have been read; polling marks a PollShard effect in flight.
	loaded   bool
	polling  bool
	nextPoll time.Duration
	// emptyPolls counts the successive polls that found the shard without tasks.
	emptyPolls int
	// sweeping marks a SweepObjects effect in flight.
	sweeping  bool
	nextSweep time.Duration
}

// ShardOf returns the shard of a task id.
func ShardOf(taskID string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(taskID))
	return int(h.Sum64() % shardCount)
}

// owns reports whether the node's current incarnation may start the tasks of the shard.
func (r *Reducer) owns(s *shard) bool { return s.state == shardOwned && s.Owner == r.self.Incarnation }

func (r *Reducer) tickShards() {
	t := &r.tasks
	if r.taskOutage() {
		return
	}
	r.assignShards()
	if r.mayStart() || r.stopping {
		if !t.readingShards && r.now.Mono >= t.nextShardRead {
			t.readingShards = true
			r.emit(ReadShards{})
		}
	}
	for n := range t.shards {
		r.planShard(&t.shards[n])
		r.loadShard(&t.shards[n])
		r.pollShard(&t.shards[n])
		r.sweepShard(&t.shards[n])
	}
}

// readShardsSoon makes the next tick read the shard rows.
func (r *Reducer) readShardsSoon() { r.tasks.nextShardRead = 0 }

func (r *Reducer) shardsRead(e ShardsRead) {
	t := &r.tasks
	t.readingShards = false
	t.nextShardRead = r.now.Mono + max(shardReadInterval, time.Duration(r.nodes())*shardReadSpacing)
	if e.Failed {
		return
	}
	rows := make([]StoredShard, shardCount)
	for n := range rows {
		rows[n].Shard = n
	}
	for _, s := range e.Shards {
		if s.Shard >= 0 && s.Shard < shardCount {
			rows[s.Shard] = s
		}
	}
	for n := range rows {
		r.observeShard(&t.shards[n], rows[n], e.SentAt.Mono)
		r.planShard(&t.shards[n])
		r.loadShard(&t.shards[n])
	}
}

// observeShard applies a shard row that was read from the table.
func (r *Reducer) observeShard(s *shard, row StoredShard, sent time.Duration) {
	if s.writing || row.Version < s.version {
		return
	}
	same := row.ShardRow == s.ShardRow
	if !same && s.state != shardForeign {
		r.loseShard(s)
	}
	s.ShardRow, s.version, s.rowRead, s.rowReadAt = row.ShardRow, row.Version, true, sent
	if s.Owner == r.self.Incarnation && s.state == shardForeign {
		r.gainShard(s)
	}
}

func (r *Reducer) gainShard(s *shard) {
	s.state = shardOwned
	s.loadAfter, s.loading, s.nextLoad, s.loaded = "", false, 0, false
	s.polling, s.nextPoll, s.emptyPolls = false, 0, 0
	s.sweeping, s.nextSweep = false, r.now.Mono+sweepInterval*time.Duration(s.Shard+1)/shardCount
	r.count("shard_gained")
	r.logShard(s, "foreign", "owned")
}

func (r *Reducer) loseShard(s *shard) {
	s.state = shardForeign
	for _, id := range beryllatch.SortedKeys(s.tasks) {
		r.dropTask(s.tasks[id])
	}
	r.count("shard_lost")
	r.logShard(s, "owned", "foreign")
}

func (r *Reducer) logShard(s *shard, from, to string) {
	r.emit(LogState{
		Subject: "shard/" + strconv.Itoa(s.Shard), From: from, To: to,
		Detail: "epoch " + strconv.FormatUint(uint64(s.Epoch), 10),
	})
}

// planShard takes over the shard if this node should own it and the former owner can no longer start work, and gives
// it up if another node should own it.
func (r *Reducer) planShard(s *shard) {
	if !s.rowRead || s.writing || r.now.Mono < s.nextWrite || r.taskOutage() {
		return
	}
	preferred := r.tasks.preferredOwners[s.Shard] == r.self.Incarnation || r.tasks.disabled.expiry
	if s.state != shardForeign && s.Owner != r.self.Incarnation {
		// The shard belonged to an earlier incarnation of this process.
		r.loseShard(s)
	}
	shouldOwn := !r.stopping && preferred
	switch {
	case s.state == shardOwned && !shouldOwn:
		s.state = shardReleasing
		r.releaseShard(s)
	case s.state == shardReleasing:
		r.releaseShard(s)
	case s.state == shardForeign && shouldOwn && r.mayTransfer() && r.ownerInactive(s):
		row := ShardRow{Shard: s.Shard, Owner: r.self.Incarnation, Epoch: s.Epoch + 1}
		r.writeShard(s, row, r.ownerChecks(s)...)
	}
}

func (r *Reducer) writeShard(s *shard, row ShardRow, checks ...NodeCheck) {
	s.writing = true
	r.emit(WriteShard{Row: row, Expect: s.version, Checks: checks})
}

// ownerChecks returns the conditions that make a takeover fail if the former owner has renewed its tenure in the meantime.
func (r *Reducer) ownerChecks(s *shard) []NodeCheck {
	if s.Owner == "" || r.tasks.disabled.expiry {
		return nil
	}
	return []NodeCheck{r.notRenewedCheck(s.Owner)}
}

// releaseShard gives up the ownership of the shard once no write or send of its tasks is in flight.
func (r *Reducer) releaseShard(s *shard) {
	for _, t := range s.tasks {
		if t.writing || t.reading || t.phase == phaseSending {
			return
		}
	}
	r.writeShard(s, ShardRow{Shard: s.Shard, Epoch: s.Epoch})
}

// ownerInactive reports whether the owner of the shard can no longer start work.
func (r *Reducer) ownerInactive(s *shard) bool {
	if s.Owner == "" || r.tasks.disabled.expiry {
		return true
	}
	// The shard row named the owner, and a later read no longer found its node row: it was deleted at a graceful stop or
	// after its tenure had expired.
	deleted := !slices.Contains(r.tenure.knownIncarnations, s.Owner) && r.tenure.renewedAt > s.rowReadAt
	return deleted || r.hasExpired(s.Owner)
}

// assignShards determines the preferred owner of every shard if the set of live nodes has changed.
func (r *Reducer) assignShards() {
	live := r.tasks.liveScratch[:0]
	live = append(live, r.self)
	for _, m := range r.registeredMembers() {
		if !m.expired && m.row.State == NodeLive {
			live = append(live, m.row.Identity)
		}
	}
	r.tasks.liveScratch = live
	if slices.Equal(live, r.tasks.assignedNodes) {
		return
	}
	r.tasks.assignedNodes = slices.Clone(live)
	for n := range r.tasks.preferredOwners {
		r.tasks.preferredOwners[n] = preferredOwner(n, live)
	}
}

// preferredOwner picks the node with the highest hash for the shard (rendezvous hashing), so that few shards change their
// owner when a node starts or stops.
func preferredOwner(n int, live []Identity) string {
	best, top := "", uint64(0)
	for _, x := range live {
		score := shardScore(n, x)
		if score > top || score == top && x.Incarnation > best {
			best, top = x.Incarnation, score
		}
	}
	return best
}

func shardScore(n int, x Identity) uint64 {
	sum := sha256.Sum256([]byte(strconv.Itoa(n) + "/" + x.Node))
	return binary.BigEndian.Uint64(sum[:])
}

func (r *Reducer) shardWritten(e ShardWritten) {
	s := &r.tasks.shards[e.Row.Shard]
	s.writing = false
	s.nextWrite = r.now.Mono + taskRetry
	switch e.Result {
	case WriteDone:
		if s.state != shardForeign {
			r.loseShard(s)
		}
		s.ShardRow, s.version = e.Row, e.Version
		s.rowReadAt = r.now.Mono
		if s.Owner == r.self.Incarnation {
			r.gainShard(s)
			r.loadShard(s)
		}
	case WriteConflict, WriteUnknown:
		r.readShardsSoon()
	case WriteFailed:
	}
}

// tasksReleased reports whether a stopping node has given up all its shards and answered all calls of the tasks API. In
// an outage it does not wait for the shards, whose rows cannot be written then; other nodes take them over later.
func (r *Reducer) tasksReleased() bool {
	if r.taskOutage() {
		return len(r.tasks.calls) == 0
	}
	for n := range r.tasks.shards {
		if s := &r.tasks.shards[n]; s.state != shardForeign || s.writing {
			return false
		}
	}
	return len(r.tasks.calls) == 0
}
