package berylreducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a takeover by a list of known incarnations that is not the one of the row that stands still: one that was
// read before the row last changed, or one whose answer may be later than the read of the row.
func TestKnownListOfTheRow(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent and answered are the instants of the list's read after the row was first seen; renewal is that of the
		// renewal's sending.
		sent, answered, renewal time.Duration
		lists                   []string
		lapsed                  bool
	}{
		{"in time", 3 * time.Second, 4 * time.Second, lapseWait, []string{"n1-1"}, true},
		{"row moved on", 0, time.Second, lapseWait, []string{"n1-1"}, false},
		{"late answer", 3 * time.Second, lapseWait + time.Millisecond, lapseWait, []string{"n1-1"}, false},
		{"observer not listed", 3 * time.Second, 4 * time.Second, lapseWait, []string{"n2-1"}, false},
		{"too early", 3 * time.Second, 4 * time.Second, lapseWait - time.Millisecond, []string{"n1-1"}, false},
		{"unlisted wait", 3 * time.Second, 4 * time.Second, unlistedLapseWait, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSession()
			s.start(sampleConfig())
			peer := NodeRow{Identity: Identity{Node: "n2", Incarnation: "n2-1"}, Version: 1, State: NodeLive}
			read := func(sent Instant) { s.send(Renewed{SentAt: sent, HeadVersion: 1, Nodes: []NodeRow{peer}}) }
			read(s.now)
			if c.sent == 0 {
				s.wait(time.Second)
				s.send(KnownRead{SentAt: s.now, Known: map[string][]string{"n2-1": c.lists}})
				s.wait(time.Second)
				peer.Version++
				read(s.now)
			}
			seen := s.now
			at := func(d time.Duration) Instant {
				return Instant{Mono: seen.Mono + d, Wall: seen.Wall.Add(d)}
			}
			if c.sent > 0 {
				s.now = at(c.answered)
				s.send(KnownRead{SentAt: at(c.sent), Known: map[string][]string{"n2-1": c.lists}})
			}
			s.now = at(max(c.answered, c.renewal) + time.Millisecond)
			read(at(c.renewal))
			assert.Equal(t, s.r.knownLapsed("n2-1"), c.lapsed)
		})
	}
}
