package beryljobs

import (
	"context"
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
)

const (
	// registryPause is the pause between reads of the registry, which changes all the time.
	registryPause = 150 * time.Millisecond
	// registryWait is how long the store may delay its answer while the registry has not changed.
	registryWait = time.Second
)

// readRegistry reads all registrations, and returns the version of the store that they show.
func (s *session) readRegistry(ctx context.Context) ([]beryllatch.WorkerInfo, int64, error) {
	rows, version, err := s.node.rows().Rows(ctx, s.node.View.WorkersTable(), "")
	return s.decodeWorkers(rows), version, err
}

func (s *session) decodeWorkers(rows []beryllatch.DataRow) []beryllatch.WorkerInfo {
	var out []beryllatch.WorkerInfo
	for _, r := range rows {
		w, err := s.node.View.Worker(r)
		if err != nil {
			s.node.Log.Event("registration_unreadable", r.Key, err.Error())
			continue
		}
		out = append(out, w)
	}
	return out
}

// watchRegistry follows the table of the workers' registrations from registryVersion on. When it is called again after a panic, it reads the
// whole table first, since the changes that were read last may not have been applied.
func (s *session) watchRegistry(ctx context.Context) {
	historyLost := s.registryWatched
	s.registryWatched = true
	for ctx.Err() == nil {
		if historyLost {
			historyLost = !s.rereadRegistry(ctx)
			pause(ctx, registryPause)
			continue
		}
		rows, version, err := s.node.rows().Changes(ctx, s.node.View.WorkersTable(), s.registryVersion, registryWait)
		var lost *beryllatch.HistoryLostError
		if errors.As(err, &lost) {
			s.node.Log.Event("history_lost", lost.Table, "")
			historyLost = true
			continue
		}
		if err == nil {
			s.registryVersion = version
			s.applyRegistry(rows)
		}
		pause(ctx, registryPause)
	}
}

// rereadRegistry reads the whole table. The result is false if that failed, or showed an older state than the present one: it would bring
// workers back that have left.
func (s *session) rereadRegistry(ctx context.Context) bool {
	workers, version, err := s.readRegistry(ctx)
	if err != nil || s.node.isStaleRead("registry", s.node.View.WorkersTable(), version, s.registryVersion) {
		return false
	}
	s.registryVersion = version
	s.apply(berylscheduler.RegistryRead{Workers: workers})
	return true
}

// applyRegistry applies changed rows. If a key has changed more than once, its last row counts.
func (s *session) applyRegistry(rows []beryllatch.DataRow) {
	last := make(map[string]int, len(rows))
	for i, r := range rows {
		last[r.Key] = i
	}
	var e berylscheduler.RegistryChanged
	var present []beryllatch.DataRow
	for i, r := range rows {
		switch {
		case last[r.Key] != i:
		case r.Deleted:
			e.Removed = append(e.Removed, r.Key)
		default:
			present = append(present, r)
		}
	}
	e.Workers = s.decodeWorkers(present)
	s.apply(e)
}
