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
	// shardReadSpacing stretches the interval with the number of nodes. Every 2 s, 36 nodes would read 1152 shard rows a
	// second, and with the node rows more than the 2000 that the platform serves whenever a node comes or goes.
	shardReadSpacing = 250 * time.Millisecond
)

// shardState is what this node does with a shard.
type shardState int

const (
	shardForeign shardState = iota
	shardOwned
	// shardReleasing starts nothing more and is given away once no write or send is in flight.
	shardReleasing
)

// shard is one part of all tasks; its owner alone starts the tasks in it.
type shard struct {
	ShardRow
	version uint64
	// seenAt is when the read that found this row was sent.
	seenAt  time.Duration
	known   bool
	state   shardState
	writing bool
	next    time.Duration
	tasks   map[string]*queuedTask
	// after is the position of the next page; loading marks a LoadTasks effect in flight.
	after    string
	loading  bool
	nextLoad time.Duration
	// loaded is true once the first pass over the shard has ended; polling marks a PollShard effect in flight.
	loaded   bool
	polling  bool
	nextPoll time.Duration
	// idlePolls counts the polls in a row that found the shard without tasks.
	idlePolls int
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

// owns reports whether the present incarnation may start the tasks of the shard.
func (r *Reducer) owns(s *shard) bool { return s.state == shardOwned && s.Owner == r.self.Incarnation }

func (r *Reducer) tickShards() {
	t := &r.tasks
	if r.taskOutage() {
		return
	}
	r.spreadShards()
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

// readShardsSoon asks for the shard rows at the next tick.
func (r *Reducer) readShardsSoon() { r.tasks.nextShardRead = 0 }

func (r *Reducer) shardsRead(e ShardsRead) {
	t := &r.tasks
	t.readingShards = false
	t.nextShardRead = r.now.Mono + max(shardReadInterval, time.Duration(r.nodes())*shardReadSpacing)
	if e.Failed {
		return
	}
	found := make([]StoredShard, shardCount)
	for n := range found {
		found[n].Shard = n
	}
	for _, s := range e.Shards {
		if s.Shard >= 0 && s.Shard < shardCount {
			found[s.Shard] = s
		}
	}
	for n := range found {
		r.observeShard(&t.shards[n], found[n], e.SentAt.Mono)
		r.planShard(&t.shards[n])
		r.loadShard(&t.shards[n])
	}
}

// observeShard takes over what the table says about a shard.
func (r *Reducer) observeShard(s *shard, row StoredShard, sent time.Duration) {
	if s.writing || row.Version < s.version {
		return
	}
	same := row.ShardRow == s.ShardRow
	if !same && s.state != shardForeign {
		r.loseShard(s)
	}
	s.ShardRow, s.version, s.known, s.seenAt = row.ShardRow, row.Version, true, sent
	if s.Owner == r.self.Incarnation && s.state == shardForeign {
		r.gainShard(s)
	}
}

func (r *Reducer) gainShard(s *shard) {
	s.state = shardOwned
	s.after, s.loading, s.nextLoad, s.loaded = "", false, 0, false
	s.polling, s.nextPoll, s.idlePolls = false, 0, 0
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

// planShard claims the shard, gives it away or leaves it.
func (r *Reducer) planShard(s *shard) {
	if !s.known || s.writing || r.now.Mono < s.next || r.taskOutage() {
		return
	}
	preferred := r.tasks.preferred[s.Shard] == r.self.Incarnation || r.tasks.off.lapse
	if s.state != shardForeign && s.Owner != r.self.Incarnation {
		// The shard belonged to an earlier incarnation of this process.
		r.loseShard(s)
	}
	mine := !r.stopping && preferred
	switch {
	case s.state == shardOwned && !mine:
		s.state = shardReleasing
		r.releaseShard(s)
	case s.state == shardReleasing:
		r.releaseShard(s)
	case s.state == shardForeign && mine && r.mayTransfer() && r.ownerGone(s):
		row := ShardRow{Shard: s.Shard, Owner: r.self.Incarnation, Epoch: s.Epoch + 1}
		r.writeShard(s, row, r.ownerChecks(s)...)
	}
}

func (r *Reducer) writeShard(s *shard, row ShardRow, checks ...NodeCheck) {
	s.writing = true
	r.emit(WriteShard{Row: row, Expect: s.version, Checks: checks})
}

// ownerChecks makes a takeover fail if the former owner has renewed its tenure in the meantime.
func (r *Reducer) ownerChecks(s *shard) []NodeCheck {
	if s.Owner == "" || r.tasks.off.lapse {
		return nil
	}
	return []NodeCheck{r.lapsedCheck(s.Owner)}
}

// releaseShard gives the shard away once nothing that it started can still be under way.
func (r *Reducer) releaseShard(s *shard) {
	for _, t := range s.tasks {
		if t.writing || t.reading || t.phase == phaseSending {
			return
		}
	}
	r.writeShard(s, ShardRow{Shard: s.Shard, Epoch: s.Epoch})
}

// ownerGone reports whether the owner of the shard can no longer start work.
func (r *Reducer) ownerGone(s *shard) bool {
	if s.Owner == "" || r.tasks.off.lapse {
		return true
	}
	// A node row that a later read no longer finds was deleted at a graceful stop or after a lapse.
	deleted := !slices.Contains(r.tenure.known, s.Owner) && r.tenure.renewedAt > s.seenAt
	return deleted || r.knownLapsed(s.Owner)
}

// spreadShards picks the preferred owner of every shard if the set of live nodes has changed.
func (r *Reducer) spreadShards() {
	live := r.tasks.live[:0]
	live = append(live, r.self)
	for _, m := range r.registered() {
		if !m.lapsed && m.row.State == NodeLive {
			live = append(live, m.row.Identity)
		}
	}
	r.tasks.live = live
	if slices.Equal(live, r.tasks.spreadOver) {
		return
	}
	r.tasks.spreadOver = slices.Clone(live)
	for n := range r.tasks.preferred {
		r.tasks.preferred[n] = preferredOwner(n, live)
	}
}

// preferredOwner picks the node with the highest hash for the shard.
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
	s.next = r.now.Mono + taskRetry
	switch e.Result {
	case WriteDone:
		if s.state != shardForeign {
			r.loseShard(s)
		}
		s.ShardRow, s.version = e.Row, e.Version
		s.seenAt = r.now.Mono
		if s.Owner == r.self.Incarnation {
			r.gainShard(s)
			r.loadShard(s)
		}
	case WriteConflict, WriteUnknown:
		r.readShardsSoon()
	case WriteFailed:
	}
}

// tasksReleased reports whether the node owns no shard and answers no call.
// In an outage no row can be written, and the shards are taken over later.
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
