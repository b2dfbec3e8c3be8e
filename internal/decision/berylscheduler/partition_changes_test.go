package berylscheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// With changes, the partition model also moves, renames and removes the queue, hands in jobs that are due many times, performs transactions
// without an answer late, and forgets finished jobs soon.

const (
	// changeSeeds is the number of seeds with changes without PARTITION_SEEDS.
	changeSeeds = 6
	// lostCommits is the share of transactions that get no answer and are performed up to longestCommitDelay later.
	lostCommits        = 0.02
	longestCommitDelay = 15 * time.Second
	// shortRetention, with retentionMargin, is how long finished jobs are remembered.
	shortRetention = 2 * time.Second
	otherPool      = "p2"
)

// deploymentOf returns a version of the configuration with the queue in a pool; an empty pool is one without the queue. The name of
// the queue that takes its path is then another one.
func (m *partitionModel) deploymentOf(version int64, pool string) *beryllatch.Deployment {
	d := *modelDeployment()
	d.Version = version
	d.Pools = map[string]beryllatch.JobPool{"p": {Name: "p"}, otherPool: {Name: otherPool}}
	q := d.Queues["q"]
	if q.Pool = pool; pool == "" {
		q.Name, q.Pool = "q-new", "p"
	}
	d.Queues = map[string]beryllatch.JobQueue{q.Name: q}
	return d.WithIndex()
}

// changeConfiguration sends the queue elsewhere, and comes again some time later. At the end the queue is away.
func (m *partitionModel) changeConfiguration() {
	pools := []string{"p", otherPool, ""}
	next := pools[m.rand.IntN(len(pools))]
	m.deployment = m.deploymentOf(m.deployment.Version+1, next)
	m.logf("network", "", "version %d has queues %v", m.deployment.Version, slices.Collect(maps.Keys(m.deployment.Queues)))
	if m.now < faultTime-5*time.Second {
		m.after(m.between(500*time.Millisecond, 8*time.Second), m.changeConfiguration)
	}
}

// watchConfiguration passes the configuration on.
func (s *modelSession) watchConfiguration() {
	if s.ended {
		return
	}
	callStore(s.node, modelStoreTimeout, func(*modelStore) *beryllatch.Deployment { return s.model.deployment },
		func(d *beryllatch.Deployment, err error) {
			if err == nil {
				s.apply(DeploymentChanged{d})
			}
			s.later(modelRegistryPause, s.watchConfiguration)
		})
}

// repeatSome makes some jobs due many times, partly in the past. They are small, so that they can be done in time.
func (m *partitionModel) repeatSome(j *beryllatch.Job) {
	if !m.chance(0.25) || j.Steps[0].LongRunning {
		return
	}
	j.Repeat, j.Interval = 1+m.rand.IntN(12), m.between(0, 500*time.Millisecond)
	j.First = m.at(m.now + m.between(-4*time.Second, time.Second))
	for i := range j.Steps {
		j.Steps[i].Count, j.Steps[i].Needs.CPUMilli = 1, 500
	}
}

// delayCommit performs a transaction later if its answer is lost.
func (m *partitionModel) delayCommit(tx beryllatch.RowTransaction) bool {
	if !m.options.changes || !m.chance(lostCommits) {
		return false
	}
	m.after(m.between(0, longestCommitDelay), func() { m.store.commit(tx) })
	return true
}

// withoutBarrier returns the transaction without its condition on the barrier row.
func withoutBarrier(tx beryllatch.RowTransaction) beryllatch.RowTransaction {
	tx.Conditions = slices.DeleteFunc(slices.Clone(tx.Conditions), func(c beryllatch.RowCondition) bool { return c.Table == BarrierTable })
	return tx
}

// The rules hold while the configuration changes, jobs are due many times and transactions are performed late.
func TestRulesHoldWithChanges(t *testing.T) {
	first, count := partitionSeedRange(t, changeSeeds)
	starts := 0
	for seed := first; seed < first+count; seed++ {
		m := newPartitionModel(seed, partitionOptions{restarts: seed%2 == 1, changes: true})
		violations := m.run()
		starts += m.judge.starts
		if len(violations) > 0 {
			v := violations[0]
			t.Errorf("seed %d, %d violations, first: %v\n%s", seed, len(violations), v, m.story(v))
		}
	}
	t.Logf("%d starts", starts)
	assert.Assert(t, starts > 100*int(count))
}

// Without a mechanism, the same simulation finds that a rule is broken.
func TestChangesNeedTheirMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		rule    string
		options partitionOptions
	}{
		"barrier": {"TWICE", partitionOptions{ignoreBarrier: true}},
		"pools of a job": {"TWICE", partitionOptions{event: func(s *Scheduler) {
			for _, j := range s.jobs {
				j.movedPools = nil
				if s.deployment != nil {
					j.movedPools = slices.Sorted(maps.Keys(s.deployment.Pools))
				}
				j.recovered = false
			}
		}}},
		"settings of a removed queue": {"LOST", partitionOptions{event: func(s *Scheduler) {
			for _, j := range s.jobs {
				if s.deployment != nil {
					j.queue = s.deployment.Queues[j.Queue]
				}
			}
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mechanismSeeds) {
				c.options.restarts, c.options.changes, c.options.until = seed%2 == 1, true, c.rule
				m := newPartitionModel(seed, c.options)
				for _, v := range m.run() {
					if v.rule == c.rule {
						t.Logf("seed %d: %v", seed, v)
						return
					}
				}
			}
			t.Errorf("%s is not broken without it", c.rule)
		})
	}
}
