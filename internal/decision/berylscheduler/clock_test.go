package berylscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// workerClock is the clock of a worker that runs at the given rate.
type workerClock struct {
	zero time.Time
	rate float64
}

func (c workerClock) at(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(c.zero)) * c.rate).Truncate(time.Millisecond)
}

// passes returns when the clock shows d.
func (c workerClock) passes(d time.Duration) time.Time {
	return c.zero.Add(time.Duration(float64(d) / c.rate))
}

// Guards against review/4: a lease that was granted by an old reading of a slow clock outlasted the time at which the scheduler
// wrote the run off, and the task ran twice.
func TestLeaseEndsBeforeItsRunsAreWrittenOff(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1)) //nolint:gosec // The same seed must give the same cases.
	for range 400 {
		age := time.Duration(rng.Int64N(int64(10 * time.Minute)))
		clock := workerClock{time.Unix(1_700_000_000, 0), 1 - clockDrift*rng.Float64()}
		limit := time.Duration(1+rng.IntN(12)) * time.Second
		t.Run(fmt.Sprintf("age %s rate %.4f limit %s", age, clock.rate, limit), func(t *testing.T) {
			read := clock.zero.Add(time.Duration(rng.Int64N(int64(24 * time.Hour))))
			s := Scheduler{now: read, Limits: Limits{MaxLease: limit}}
			w := &worker{}
			w.setClock(clock.at(read), read)
			s.now = read.Add(age)
			s.proof.storeAt = s.now
			end := s.grantLease(w)
			expires := clock.passes(end)
			assert.Assert(t, !expires.After(w.leasesExpireBy), "the lease expires %s after the write-off", expires.Sub(w.leasesExpireBy))
			if age <= maxClockAge && limit > 3*time.Second {
				assert.Assert(t, expires.Sub(s.now) > time.Second, "a lease of %s is too short to be extended", expires.Sub(s.now))
			}
		})
	}
}

// An idle worker whose clock was read long ago must be asked for it before it gets a run.
func TestOldClockIsReadAgain(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.tickFor(maxClockAge + 200*time.Millisecond)
	assert.Equal(t, len(h.holds), 1)
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.starts), 0)
	h.answerHolds(nil)
	assert.Equal(t, len(h.starts), 1)
}
