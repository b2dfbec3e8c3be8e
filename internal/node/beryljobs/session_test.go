package beryljobs

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// timedStore answers after a given time, or not at all: then it waits until the caller gives up.
type timedStore struct {
	beryllatch.RowStore
	// commit and read are the times until the answer; 0 means that there is none.
	commit, read time.Duration
	commits      int
}

func (s *timedStore) answer(ctx context.Context, after time.Duration) bool {
	if after == 0 {
		<-ctx.Done()
		return false
	}
	return pause(ctx, after)
}

func (s *timedStore) Commit(ctx context.Context, _ beryllatch.RowTransaction) (int64, error) {
	s.commits++
	if !s.answer(ctx, s.commit) {
		return 0, &beryllatch.UnknownOutcomeError{Err: ctx.Err()}
	}
	return 1, nil
}

func (s *timedStore) Row(ctx context.Context, _, _, _ string) (beryllatch.DataRow, error) {
	if !s.answer(ctx, s.read) {
		return beryllatch.DataRow{}, &beryllatch.UnavailableError{Err: ctx.Err()}
	}
	return beryllatch.DataRow{}, nil
}

// The wait for a transaction continues while the store is slow, and ends soon if the answer was lost or the store does
// not answer at all.
func TestAwaitCommit(t *testing.T) {
	for name, c := range map[string]struct {
		store timedStore
		// within is when the outcome must be there.
		within time.Duration
		stored bool
	}{
		"well":                     {timedStore{commit: 8 * time.Millisecond, read: 5 * time.Millisecond}, 10 * time.Millisecond, true},
		"slow":                     {timedStore{commit: 1100 * time.Millisecond, read: 150 * time.Millisecond}, 1200 * time.Millisecond, true},
		"answer lost":              {timedStore{read: 5 * time.Millisecond}, 200 * time.Millisecond, false},
		"answer lost, store slow":  {timedStore{read: 150 * time.Millisecond}, maxStoreTimeout, false},
		"nothing answers":          {timedStore{}, 700 * time.Millisecond, false},
		"late, and reads are fast": {timedStore{commit: time.Second, read: 5 * time.Millisecond}, 200 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				defer end()
				s := &session{
					node: &Node{Store: &c.store, Log: &DecisionLog{}}, ctx: ctx,
					storeTimeout: adaptiveTimeout{shortest: minStoreTimeout, longest: maxStoreTimeout},
				}
				start := time.Now()
				_, noAnswer, err := s.awaitCommit(beryllatch.RowTransaction{})
				assert.Equal(t, noAnswer, name == "nothing answers")
				assert.Assert(t, time.Since(start) <= c.within, "after %v", time.Since(start))
				assert.Equal(t, c.store.commits, 1)
				if c.stored {
					assert.NilError(t, err)
					return
				}
				var unknown *beryllatch.UnknownOutcomeError
				assert.Assert(t, errors.As(err, &unknown), "an unknown outcome must be reported as unknown")
			})
		})
	}
}
