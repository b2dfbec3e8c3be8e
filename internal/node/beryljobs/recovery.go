package beryljobs

import (
	"context"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/rotisserie/eris"
)

// newSession reads the rows that earlier epochs have stored, and returns a session that continues from them.
func (n *Node) newSession(ctx context.Context, sn schedulingNode) (*session, error) {
	ctx, end := context.WithCancel(ctx)
	s := &session{
		node: n, self: sn, began: time.Now(), ctx: ctx, endEpoch: end, calls: make(map[uint64]chan error),
		storeTimeout:  adaptiveTimeout{shortest: minStoreTimeout, longest: maxStoreTimeout},
		workerTimeout: adaptiveTimeout{shortest: minWorkerTimeout, longest: maxWorkerTimeout},
	}
	s.scheduler = berylscheduler.Scheduler{Epoch: sn.Epoch, OwnerVersion: sn.version, ClaimedAt: sn.claimedAt, PredecessorMayAct: sn.predecessorMayAct, Limits: n.Limits}
	if sn.handedOver {
		s.scheduler.InstanceOrderDelay = n.Limits.HandoverPause
	}
	var e berylscheduler.Recovered
	var registry []beryllatch.WorkerInfo
	for _, read := range []func() error{
		func() (err error) {
			e.Jobs, err = s.readTable(ctx, berylscheduler.JobsTable)
			return err
		},
		func() (err error) {
			e.Progress, err = s.readTable(ctx, berylscheduler.ProgressTable)
			return err
		},
		func() (err error) {
			e.Workers, err = s.readTable(ctx, berylscheduler.WorkersTable)
			return err
		},
		func() (err error) {
			e.Waves, err = s.readTable(ctx, berylscheduler.WavesTable)
			return err
		},
		func() (err error) {
			e.Barrier, err = s.readTable(ctx, berylscheduler.BarrierTable)
			return err
		},
		func() (err error) {
			registry, s.registryVersion, err = s.readRegistry(ctx)
			if err == nil {
				err = s.checkAge(n.View.WorkersTable(), s.registryVersion)
			}
			return err
		},
		func() error {
			if n.Deployment() != nil {
				return nil
			}
			return n.refreshOperations(ctx)
		},
	} {
		if err := retryRead(ctx, read); err != nil {
			end()
			return nil, err
		}
	}
	s.apply(e)
	s.apply(berylscheduler.RegistryRead{Workers: registry})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovered = true
	return s, nil
}

// readTable reads a table of the scheduling node.
func (s *session) readTable(ctx context.Context, table string) ([]beryllatch.DataRow, error) {
	rows, version, err := s.node.rows().Rows(ctx, table, berylscheduler.Part)
	if err == nil {
		err = s.checkAge(table, version)
	}
	return rows, err
}

// checkAge returns an error if a read of a table shows the store as it was before this epoch was claimed: what the epoch before has
// stored since would be missing.
func (s *session) checkAge(table string, version int64) error {
	if s.node.isStaleRead("takeover", table, version, s.self.version) {
		return eris.Errorf("table %s was read at version %d, before version %d of the claim", table, version, s.self.version)
	}
	return nil
}

// readAttempts bounds the attempts of each read of a takeover. When they are used up, the scheduling role is released.
const readAttempts = 8

func retryRead(ctx context.Context, read func() error) error {
	var err error
	for range readAttempts {
		if err = read(); err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, readRetry)
	}
	return err
}
