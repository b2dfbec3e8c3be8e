package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/golden"
)

// session passes scripted events to a reducer in virtual time, and records every event and effect as text.
type session struct {
	r   Reducer
	now Instant
	log strings.Builder
	// lastEffects holds the effects of the latest event.
	lastEffects []Effect
}

var sessionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSession() *session {
	return &session{now: Instant{Wall: sessionStart}}
}

// advance advances both clocks without an event.
func (s *session) advance(d time.Duration) { s.now = s.now.Add(d) }

// send applies an event and records it with its effects.
func (s *session) send(e Event) {
	s.lastEffects = s.r.Reduce(s.now, e)
	fmt.Fprintf(&s.log, "%8.3f %s\n", s.now.Mono.Seconds(), text(e))
	for _, x := range s.lastEffects {
		fmt.Fprintf(&s.log, "         -> %s\n", text(x))
	}
}

// tick sends Ticked every 100 ms for the duration d.
func (s *session) tick(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		s.advance(100 * time.Millisecond)
		s.send(Ticked{})
	}
}

// start sends the events that make a node ready under the configuration.
func (s *session) start(c beryllatch.Config) {
	s.send(Started{Self: Identity{Node: "n1", Incarnation: "n1-1", DataCentre: "dc1"}, Seed: 1})
	s.send(ConfigRead{Config: c})
	s.send(Renewed{SentAt: s.now, HeadVersion: c.Version})
}

// golden compares the record with testdata/<name>.golden; run the test with -update to rewrite it.
func (s *session) golden(t *testing.T, name string) {
	t.Helper()
	golden.Assert(t, s.log.String(), name+".golden")
}

func text(v any) string {
	if c, ok := v.(ConfigRead); ok {
		return fmt.Sprintf("ConfigRead{Version:%d}", c.Config.Version)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T%+v", v, v), "berylreducer.")
}

// sampleConfig has two teams, one service with two pools, two data centres and four workers.
func sampleConfig() beryllatch.Config {
	c := beryllatch.Config{Version: 1}.
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 6}).
		WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 4}).
		WithService(beryllatch.Service{Name: "quotes", MaxUnavailable: 1}).
		WithPool(beryllatch.Pool{Name: "quotes", Service: "quotes"}).
		WithPool(beryllatch.Pool{Name: "spare", Service: "quotes", Spare: true}).
		WithQueue(beryllatch.Queue{Name: "price", Pool: "quotes"}).
		WithQueue(beryllatch.Queue{Name: "public", Pool: "quotes", Open: true}).
		WithAPIKey(beryllatch.APIKey{ID: "k1", Team: "red", Hash: strings.Repeat("1", 64)}).
		WithAPIKey(beryllatch.APIKey{ID: "k2", Team: "blue", Hash: strings.Repeat("2", 64)}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc1"}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc2"})
	for n := 1; n <= 4; n++ {
		c = c.WithInstance(beryllatch.Instance{
			ID: fmt.Sprintf("w%d", n), Pool: "quotes", DataCentre: fmt.Sprintf("dc%d", 1+n%2), Rack: fmt.Sprintf("r%d", n),
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+n), Slots: 2, Connections: 16, State: beryllatch.InstanceActive,
		})
	}
	return c
}
