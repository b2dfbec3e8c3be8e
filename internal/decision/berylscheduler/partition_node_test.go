package berylscheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The times of the nodes, as in beryljobs. A node that the scheduling node may not know waits for PeerProofLimit, one that it knows takes
// over within ackValidity of its last answered probe.
const (
	modelTick          = 100 * time.Millisecond
	modelProbePause    = 250 * time.Millisecond
	modelProbeTimeout  = 300 * time.Millisecond
	modelStoreTimeout  = time.Second
	modelHeartbeat     = 300 * time.Millisecond
	modelBeatTimeout   = 700 * time.Millisecond
	modelBeatExpiry    = 1300 * time.Millisecond
	modelStoreAge      = 1300 * time.Millisecond
	modelStoreContact  = 600 * time.Millisecond
	modelAckValidity   = 10 * time.Second
	modelKnownPeerTime = 15 * time.Second
	modelReadAttempts  = 8
	modelRegistryPause = 300 * time.Millisecond
	modelBeatTable     = "beat"
)

// modelDuty is the content of the duty row.
type modelDuty struct {
	Node     string
	Epoch    int64
	Released bool
	version  int64
}

// modelNode watches the scheduling node, and takes over when it fails.
type modelNode struct {
	model   *partitionModel
	name    string
	centre  int
	delay   time.Duration
	duty    modelDuty
	session *modelSession
	// storeAnswered is when the store last answered this node.
	storeAnswered time.Duration
	// stamp is the last one received from the scheduling node of stampEpoch.
	stamp      time.Duration
	stampEpoch int64
	// ackedEpoch is the epoch of the last answered probe, ackedAt when that was sent.
	ackedEpoch int64
	ackedAt    time.Duration
	// claimedEpoch is the last epoch that this node has begun.
	claimedEpoch int64
	watch        modelWatch
}

// modelWatch holds since when the scheduling node has shown signs of a failure.
type modelWatch struct {
	epoch, beatVersion int64
	unchangedSince     time.Duration
	noStoreSince       time.Duration
}

type modelProbe struct {
	node       string
	stamp      time.Duration
	stampEpoch int64
}

type modelProbeAnswer struct {
	epoch    int64
	stamp    time.Duration
	storeAge time.Duration
}

func newModelNode(m *partitionModel, i int) *modelNode {
	n := &modelNode{model: m, name: fmt.Sprintf("n%d", i), centre: i, delay: time.Duration(i) * 20 * time.Millisecond}
	m.after(n.delay, n.probe)
	return n
}

func (n *modelNode) probeLater() {
	n.model.after(n.model.between(modelProbePause, modelProbePause+10*time.Millisecond), func() { n.model.whenAwake(n.name, n.probe) })
}

// probe asks the scheduling node whether it still schedules.
func (n *modelNode) probe() {
	switch {
	case n.session != nil:
		n.probeLater()
		return
	case n.duty.Node == "" || n.duty.Node == n.name:
		n.checkDuty(false)
		return
	}
	m, epoch, sent := n.model, n.duty.Epoch, n.model.now
	holder := m.nodes[0]
	for _, o := range m.nodes {
		if o.name == n.duty.Node {
			holder = o
		}
	}
	p := modelProbe{node: n.name, stamp: n.stamp, stampEpoch: n.stampEpoch}
	call(m, n.name, holder.name, modelProbeTimeout, func(reply func(modelProbeAnswer)) {
		reply(holder.probed(p))
	}, func(a modelProbeAnswer, err error) {
		if err != nil || a.epoch < epoch {
			n.checkDuty(false)
			return
		}
		n.stamp, n.stampEpoch = a.stamp, a.epoch
		n.ackedEpoch, n.ackedAt = a.epoch, sent
		if a.storeAge > modelStoreAge {
			n.checkDuty(true)
			return
		}
		n.watch = modelWatch{}
		n.probeLater()
	})
}

// probed answers a probe, and records what it proves.
func (n *modelNode) probed(p modelProbe) modelProbeAnswer {
	s := n.session
	if s == nil {
		return modelProbeAnswer{}
	}
	peer := s.peers[p.node]
	if peer == nil {
		peer = &modelPeer{}
		s.peers[p.node] = peer
	}
	peer.probedAt = n.model.now
	if p.stampEpoch == s.scheduler.Epoch && p.stamp > peer.unreplacedAt {
		peer.unreplacedAt = p.stamp
	}
	return modelProbeAnswer{epoch: s.scheduler.Epoch, stamp: n.model.now, storeAge: n.model.now - n.storeAnswered}
}

// callStore sends a request to the store, and records when the store answers.
func callStore[A any](n *modelNode, timeout time.Duration, serve func(*modelStore) A, done func(A, error)) {
	call(n.model, n.name, storeName, timeout, func(reply func(A)) { reply(serve(&n.model.store)) }, func(a A, err error) {
		if err == nil {
			n.storeAnswered = n.model.now
		}
		done(a, err)
	})
}

// readDuty reads the duty row; done is called with false if the store does not answer.
func (n *modelNode) readDuty(done func(modelDuty, bool)) {
	callStore(n, modelStoreTimeout, func(s *modelStore) beryllatch.DataRow { return s.row(DutyTable, OwnerKey) },
		func(row beryllatch.DataRow, err error) {
			if err != nil {
				done(modelDuty{}, false)
				return
			}
			d := modelDuty{version: row.Version}
			if row.Version > 0 {
				if err := json.Unmarshal(row.Value, &d); err != nil {
					panic(err)
				}
			}
			if d.Epoch >= n.duty.Epoch {
				n.duty = d
			}
			done(d, true)
		})
}

// checkDuty decides after a failed probe whether this node takes over.
func (n *modelNode) checkDuty(noStore bool) {
	probed := n.duty.Epoch
	n.readDuty(func(d modelDuty, ok bool) {
		switch {
		case !ok:
			n.probeLater()
		case d.Epoch != probed:
			n.watch = modelWatch{}
			n.probe()
		case d.Epoch == 0 || d.Released:
			n.model.after(n.delay, func() { n.claim(d, false, nil) })
		case noStore:
			if n.watch.noStoreSince == 0 {
				n.watch.noStoreSince = n.model.now
			}
			if n.model.now-n.watch.noStoreSince >= modelStoreContact+n.delay {
				n.claim(d, true, nil)
				return
			}
			n.probeLater()
		default:
			n.watch.noStoreSince = 0
			n.readBeat(func(version int64) { n.checkBeat(d, version) })
		}
	})
}

// readBeat reads the version of the heartbeat row.
func (n *modelNode) readBeat(done func(version int64)) {
	callStore(n, modelStoreTimeout, func(s *modelStore) int64 { return s.row(modelBeatTable, OwnerKey).Version },
		func(version int64, err error) {
			if err != nil {
				n.probeLater()
				return
			}
			done(version)
		})
}

// acknowledged reports whether the scheduling node knows this node. If the row names this very node, its epoch has ended, or its claim was
// stored after it had given it up; then the answer of the node that scheduled before counts.
func (n *modelNode) acknowledged(d modelDuty) bool {
	recent := n.model.now-n.ackedAt < modelAckValidity
	switch {
	case n.model.options.unacknowledged:
		return true
	case d.Node == n.name:
		return n.claimedEpoch == d.Epoch || recent && n.ackedEpoch == d.Epoch-1
	}
	return recent && n.ackedEpoch == d.Epoch
}

// checkBeat takes over when the heartbeat row has not changed for long enough.
func (n *modelNode) checkBeat(d modelDuty, version int64) {
	now := n.model.now
	if n.watch.epoch != d.Epoch || n.watch.beatVersion != version {
		n.watch = modelWatch{epoch: d.Epoch, beatVersion: version, unchangedSince: now}
		n.probeLater()
		return
	}
	wait, needsAck := modelBeatExpiry, version > 0
	if needsAck && !n.acknowledged(d) {
		wait, needsAck = PeerProofLimit, false
	}
	if now-n.watch.unchangedSince < wait+n.delay {
		n.probeLater()
		return
	}
	n.claim(d, needsAck, []beryllatch.RowCondition{{Table: modelBeatTable, Part: modelBeatTable, Key: OwnerKey, Version: version}})
}

// claim claims the duty row in a new epoch. A claim without an answer may be stored later; the duty row shows it.
func (n *modelNode) claim(previous modelDuty, needsAck bool, beat []beryllatch.RowCondition) {
	m := n.model
	n.watch = modelWatch{}
	if needsAck && !n.acknowledged(previous) {
		n.probeLater()
		return
	}
	d := modelDuty{Node: n.name, Epoch: previous.Epoch + 1}
	tx := beryllatch.RowTransaction{
		Conditions: []beryllatch.RowCondition{{Table: DutyTable, Part: Part, Key: OwnerKey, Version: previous.version}},
		Puts:       []beryllatch.DataRow{{Table: DutyTable, Part: Part, Key: OwnerKey, Value: mustEncode(d)}},
	}
	if !m.options.ignoreHeartbeat {
		tx.Conditions = append(tx.Conditions, beat...)
	}
	sent := m.now
	begin := func(version int64) {
		d.version = version
		n.duty, n.claimedEpoch = d, d.Epoch
		m.takeovers++
		m.logf(n.name, "", "takes over in epoch %d", d.Epoch)
		n.recover(d, sent, modelReadAttempts)
	}
	callStore(n, modelStoreTimeout, func(s *modelStore) storeAnswer { return s.commit(tx) }, func(a storeAnswer, err error) {
		switch {
		case err != nil:
			sent = m.now
			n.readDuty(func(current modelDuty, ok bool) {
				if ok && current.Node == n.name && current.Epoch == d.Epoch {
					begin(current.version)
					return
				}
				n.probeLater()
			})
		case a.err != nil:
			n.probeLater()
		default:
			begin(a.version)
		}
	})
}

// recover reads the rows of earlier epochs, and begins to schedule. If the store does not answer, it releases the role.
func (n *modelNode) recover(d modelDuty, claimed time.Duration, attempts int) {
	if attempts == 0 {
		n.release(d)
		return
	}
	type rows struct {
		jobs, progress, workers, barrier []beryllatch.DataRow
		registry                         []beryllatch.WorkerInfo
	}
	callStore(n, modelStoreTimeout, func(s *modelStore) rows {
		return rows{s.table(JobsTable), s.table(ProgressTable), s.table(WorkersTable), s.table(BarrierTable), n.model.registry()}
	}, func(r rows, err error) {
		if err != nil {
			n.model.after(200*time.Millisecond, func() { n.recover(d, claimed, attempts-1) })
			return
		}
		n.session = newModelSession(n, d, claimed)
		n.session.begin(Recovered{Jobs: r.jobs, Progress: r.progress, Workers: r.workers, Barrier: r.barrier}, r.registry)
		n.probeLater()
	})
}

// release marks the duty row as released.
func (n *modelNode) release(d modelDuty) {
	released := d
	released.Released = true
	tx := beryllatch.RowTransaction{
		Conditions: []beryllatch.RowCondition{{Table: DutyTable, Part: Part, Key: OwnerKey, Version: d.version}},
		Puts:       []beryllatch.DataRow{{Table: DutyTable, Part: Part, Key: OwnerKey, Value: mustEncode(released)}},
	}
	callStore(n, modelStoreTimeout, func(s *modelStore) storeAnswer { return s.commit(tx) }, func(storeAnswer, error) { n.probeLater() })
}
