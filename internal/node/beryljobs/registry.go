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
	workers, _ := s.decodeWorkers(rows)
	return workers, version, err
}

// decodeWorkers returns the workers that the rows name, and the keys of the rows that name none.
func (s *session) decodeWorkers(rows []beryllatch.DataRow) (workers []beryllatch.WorkerInfo, unreadable []string) {
	for _, r := range rows {
		w, err := s.node.View.Worker(r)
		if err != nil {
			s.node.Log.Event("registration_unreadable", r.Key, err.Error())
			s.node.Metrics.Count("registry.unreadable", 1)
			unreadable = append(unreadable, r.Key)
			continue
		}
		workers = append(workers, w)
	}
	return workers, unreadable
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
			s.apply(s.registryChange(rows))
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

// registryChange returns the event for changed rows. If a key has changed more than once, its last row counts.
func (s *session) registryChange(rows []beryllatch.DataRow) berylscheduler.RegistryChanged {
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
	// A row that names no worker replaces the registration that was there, as it does in a read of the whole table.
	workers, unreadable := s.decodeWorkers(present)
	e.Workers, e.Removed = workers, append(e.Removed, unreadable...)
	return e
}
