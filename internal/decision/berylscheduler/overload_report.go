package berylscheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

// overloadLogInterval is the time between two reports on pools and teams.
const overloadLogInterval = time.Second

// reportOverload logs, once per overloadLogInterval, the pools for which more work is submitted or waits than they can serve in time, and
// the teams above their share of a full fleet.
func (s *Scheduler) reportOverload() {
	if !s.shared || s.now.Sub(s.overloadLoggedAt) < overloadLogInterval {
		return
	}
	s.overloadLoggedAt = s.now
	for _, pool := range slices.Sorted(maps.Keys(s.overloadedSince)) {
		b := s.backlogs[pool]
		s.emit(Decision{Name: "pool_overloaded", Age: s.now.Sub(s.overloadedSince[pool]), Detail: fmt.Sprintf(
			"pool %s: %d cores submitted, %d usable, %d could be had; core-seconds waiting: %d in time, of which %d within shares, and %d late",
			pool, s.offered[pool]/1000, int(s.usableRates[pool]/1000), int(s.reachableRate(pool)/1000),
			int(b.inTime/1000), int(b.inShare/1000), int(b.late/1000),
		)})
	}
	var above []string
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		if t := s.teams[name]; t.aboveShare {
			above = append(above, fmt.Sprintf("%s: share %.0f%%, in use %.0f%%", name, 100*t.shareLimit, 100*berylshare.Dominant(t.booked, s.capacity)))
		}
	}
	if len(above) > 0 {
		s.emit(Decision{Name: "teams_above_share", Detail: strings.Join(above, "; ")})
	}
}
