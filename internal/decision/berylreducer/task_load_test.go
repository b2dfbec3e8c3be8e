package berylreducer

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Guards against polling a shard with tasks too rarely, which delays new tasks, and against polling an idle shard as often
// as a busy one.
func TestPollIntervals(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	shard := &s.r.tasks.shards[3]
	shard.state, shard.tasks = shardOwned, map[string]*queuedTask{}
	for n := range maxEmptyPolls + 1 {
		s.send(ShardPolled{Shard: 3, Epoch: shard.Epoch})
		want := pollInterval
		if n >= maxEmptyPolls-1 {
			want = idlePollInterval
		}
		if got := shard.nextPoll - s.now.Mono; got != want {
			t.Errorf("after %d idle polls the next one is due in %v, want %v", n+1, got, want)
		}
	}
	task := StoredTask{Task: beryllatch.Task{ID: "t1", State: beryllatch.TaskQueued, Deadline: s.now.Wall.Add(time.Hour)}, Version: 1}
	s.send(ShardPolled{Shard: 3, Epoch: shard.Epoch, Tasks: []StoredTask{task}})
	if got := shard.nextPoll - s.now.Mono; got != pollInterval {
		t.Errorf("with a task the next poll is due in %v, want %v", got, pollInterval)
	}
}
