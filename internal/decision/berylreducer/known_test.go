package berylreducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against treating a tenure as expired by a list of known incarnations that does not belong to its last row: the list
// was read before the row last changed, or its answer came only after the read of the row.
func TestKnownListOfTheRow(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent and answered are when the read of the list was sent and answered, and renewal is when the next renewal was
		// sent, all counted from the first read of the row with its last version.
		sent, answered, renewal time.Duration
		lists                   []string
		expired                 bool
	}{
		{"in time", 3 * time.Second, 4 * time.Second, expiryWait, []string{"n1-1"}, true},
		{"row moved on", 0, time.Second, expiryWait, []string{"n1-1"}, false},
		{"late answer", 3 * time.Second, expiryWait + time.Millisecond, expiryWait, []string{"n1-1"}, false},
		{"observer not listed", 3 * time.Second, 4 * time.Second, expiryWait, []string{"n2-1"}, false},
		{"too early", 3 * time.Second, 4 * time.Second, expiryWait - time.Millisecond, []string{"n1-1"}, false},
		{"unlisted wait", 3 * time.Second, 4 * time.Second, unlistedExpiryWait, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSession()
			s.start(sampleConfig())
			peer := NodeRow{Identity: Identity{Node: "n2", Incarnation: "n2-1"}, Version: 1, State: NodeLive}
			sendRenewed := func(sent Instant) { s.send(Renewed{SentAt: sent, HeadVersion: 1, Nodes: []NodeRow{peer}}) }
			sendRenewed(s.now)
			if c.sent == 0 {
				s.advance(time.Second)
				s.send(KnownIncarnationsRead{SentAt: s.now, Known: map[string][]string{"n2-1": c.lists}})
				s.advance(time.Second)
				peer.Version++
				sendRenewed(s.now)
			}
			firstRead := s.now
			at := func(d time.Duration) Instant {
				return Instant{Mono: firstRead.Mono + d, Wall: firstRead.Wall.Add(d)}
			}
			if c.sent > 0 {
				s.now = at(c.answered)
				s.send(KnownIncarnationsRead{SentAt: at(c.sent), Known: map[string][]string{"n2-1": c.lists}})
			}
			s.now = at(max(c.answered, c.renewal) + time.Millisecond)
			sendRenewed(at(c.renewal))
			assert.Equal(t, s.r.hasExpired("n2-1"), c.expired)
		})
	}
}
