package berylscheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// WaveReasons are the reasons for which an instance of a wave is left.
var WaveReasons = []string{
	leftUnanswered, leftUnstored, leftLongRunning, leftShortRuns, leftUnsynced, leftMoving, leftNotUp, leftForMaximum,
	leftUnproven, leftForPace,
}

const (
	// leftUnanswered: its maintenance has been ordered, and the platform has not confirmed it.
	leftUnanswered = "order_unanswered"
	// leftUnstored: the record of its order is not stored.
	leftUnstored = "order_unstored"
	// leftLongRunning: it has long-running tasks that have to move first.
	leftLongRunning = "long_running_tasks"
	// leftShortRuns: its short runs have not ended.
	leftShortRuns = "short_runs"
	// leftUnsynced: its worker has not listed the runs of an earlier epoch.
	leftUnsynced = "unsynced_worker"
	// leftMoving: an order moves it to another pool.
	leftMoving = "move"
	// leftNotUp: it is not listed as up.
	leftNotUp = "instance_not_up"
	// leftForMaximum: the maximum of the wave is reached.
	leftForMaximum = "maximum"
	// leftUnproven: nothing may be ordered, since another node may schedule.
	leftUnproven = "epoch_unproven"
	// leftForPace: it is not its turn.
	leftForPace = "pace"
)

// reasonLeft returns why the maintenance of a pending instance has not begun.
func (s *Scheduler) reasonLeft(w *wave, instance string, full bool) string {
	o, r, k := s.fleet.orders[instance], w.ordered[instance], s.workerOn(instance)
	mayOrder := s.mayOrderInstances() && s.mayMaintain()
	switch {
	case o != nil && o.wave != w.Number:
		return leftMoving
	case r != nil && r.sent:
		return leftUnanswered
	case r != nil && w.storedChange < r.change:
		return leftUnstored
	case !mayOrder:
		return leftUnproven
	case s.fleet.instances[instance].State != beryllatch.FleetInstanceUp:
		return leftNotUp
	case s.hidesRuns(w, instance):
		return leftUnsynced
	case o != nil && !s.canStopForOrder(o, k):
		return leftLongRunning
	case o != nil && k != nil && k.countShortRuns() > 0 && s.waitsForShortRuns(o):
		return leftShortRuns
	case full:
		return leftForMaximum
	}
	return leftForPace
}

// waveLogInterval is the time between two reports on what is left of the waves.
const waveLogInterval = time.Second

// reportWaves reports once a second how many instances of the open waves are left and why, and logs it for waves that are past half of
// their time.
func (s *Scheduler) reportWaves() {
	f := &s.fleet
	if s.now.Sub(f.wavesReportedAt) < waveLogInterval || !s.hasOpenWave() && f.wavesReported.Left == 0 {
		return
	}
	f.wavesReportedAt = s.now
	report := WavesLeft{Reasons: make(map[string]int)}
	for _, n := range slices.Sorted(maps.Keys(f.waves)) {
		w := f.waves[n]
		if w.done || len(w.pending) == 0 {
			continue
		}
		full := s.countInstancesDown(w) >= w.MaxDown
		reasons := make(map[string]int)
		for i := range w.pending {
			reasons[s.reasonLeft(w, i, full)]++
		}
		report.Left += len(w.pending)
		for r, count := range reasons {
			report.Reasons[r] += count
		}
		if passed := s.now.Sub(w.firstSeen); 2*passed >= w.Deadline {
			s.emit(Decision{Name: "wave_waits", Detail: w.describeLeft(reasons, passed), Age: s.now.Sub(f.listedAt)})
		}
	}
	f.wavesReported = report
	s.emit(report)
}

// describeLeft returns the detail of wave_waits.
func (w *wave) describeLeft(reasons map[string]int, passed time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "wave %d: %d of %d instances left after %.1f of %.1f s", w.Number, len(w.pending), len(w.Instances), passed.Seconds(), w.Deadline.Seconds())
	separator := ": "
	for _, r := range WaveReasons {
		if n := reasons[r]; n > 0 {
			fmt.Fprintf(&b, "%s%s %d", separator, r, n)
			separator = ", "
		}
	}
	return b.String()
}
