package berylscheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// wave is a maintenance wave with its progress.
type wave struct {
	beryllatch.MaintenanceWave
	// seen is when a scheduling node has first seen it.
	seen time.Time
	// left holds the instances whose maintenance has not begun.
	left map[string]bool
	done bool
	// told is the status that operators have been given.
	told, telling string
	rowVersion    int64
	queued        bool
	flying        bool
	// change counts the changes of what the row holds.
	change int
}

// waveRow is the stored form of a wave's progress.
type waveRow struct {
	// Seen is the Unix millisecond of the first sight of the wave.
	Seen int64 `json:"seen,omitempty"`
	// Begun holds the instances whose maintenance has begun.
	Begun []string `json:"begun,omitempty"`
}

func (w *wave) encode() []byte {
	row := waveRow{Seen: w.seen.UnixMilli()}
	for _, i := range w.Instances {
		if !w.left[i] {
			row.Begun = append(row.Begun, i)
		}
	}
	return mustEncode(row)
}

// storedWave is a wave's row of an earlier epoch.
type storedWave struct {
	waveRow
	version int64
}

// begun notes that the maintenance of an instance has begun, or that the instance is out of the wave.
func (s *Scheduler) begun(w *wave, instance string) {
	if !w.left[instance] {
		return
	}
	delete(w.left, instance)
	w.change++
	s.journal.markWave(w)
}

// noteWaves takes new waves and drops those that operators have removed.
func (s *Scheduler) noteWaves() {
	f := &s.fleet
	for n, m := range s.operations.Waves {
		if f.waves[n] != nil {
			continue
		}
		w := &wave{MaintenanceWave: m, seen: s.now, left: make(map[string]bool)}
		for _, i := range m.Instances {
			w.left[i] = true
		}
		if row, ok := f.stored[n]; ok {
			w.rowVersion = row.version
			if row.Seen > 0 {
				w.seen = earlier(time.UnixMilli(row.Seen), s.now)
			}
			for _, i := range row.Begun {
				delete(w.left, i)
			}
		} else {
			s.journal.markWave(w)
		}
		f.waves[n] = w
		s.emit(Decision{Name: "wave_seen", Detail: strings.Join(m.Instances, " ")})
	}
	for n := range f.waves {
		if _, ok := s.operations.Waves[n]; !ok {
			delete(f.waves, n)
		}
	}
}

// openWaves reports whether a wave is not done.
func (s *Scheduler) openWaves() bool {
	for _, w := range s.fleet.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// tell writes a wave's status for operators when it has changed.
func (s *Scheduler) tell(w *wave) {
	status := "running"
	if w.done {
		status = "done"
	}
	if w.told == status || w.telling != "" || s.journal.away(s.now) {
		return
	}
	w.telling = status
	s.emit(WriteWaveStatus{Wave: w.Number, Done: w.done})
}

func (s *Scheduler) statusWritten(e StatusWritten) {
	w := s.fleet.waves[e.Wave]
	if w == nil {
		return
	}
	if e.Err == nil {
		w.told = w.telling
	}
	w.telling = ""
}

// down counts the instances of a wave that are away, or are about to be.
func (s *Scheduler) down(w *wave) int {
	n := 0
	for _, i := range w.Instances {
		o := s.fleet.orders[i]
		if (o != nil && o.wave == w.Number) || s.fleet.instances[i].State == beryllatch.FleetInstanceMaintenance {
			n++
		}
	}
	return n
}

// advanceWave prepares further instances of a wave, those with the least to lose first, and returns how many of the spare
// ones it has taken. Beyond these it goes no faster than it must, so that a wave does not take away what a burst needs.
func (s *Scheduler) advanceWave(w *wave, spare int) int {
	if s.fleet.asked.Sub(w.seen) > listLag {
		for _, i := range w.Instances {
			if _, ok := s.fleet.instances[i]; !ok && w.left[i] {
				s.begun(w, i)
				s.emit(Decision{Name: "wave_instance_gone", Worker: i})
			}
		}
	}
	if len(w.left) == 0 {
		w.done = true
		s.tell(w)
		return 0
	}
	room := w.MaxDown - s.down(w)
	if room <= 0 {
		return 0
	}
	var free []string
	for i := range w.left {
		if s.fleet.orders[i] == nil && s.fleet.instances[i].State == beryllatch.FleetInstanceUp {
			free = append(free, i)
		}
	}
	losses := make(map[string]int, len(free))
	for _, i := range free {
		losses[i] = s.loss(i)
	}
	slices.SortFunc(free, func(a, b string) int {
		return cmp.Or(cmp.Compare(losses[a], losses[b]), strings.Compare(a, b))
	})
	owed := s.owed(w)
	taken := 0
	for _, i := range free {
		if room == 0 {
			break
		}
		if k := s.workerOn(i); k != nil && !k.known {
			continue
		}
		if !s.operations.Evacuated[s.fleet.instances[i].DataCentre] {
			if taken >= max(spare, owed) {
				continue
			}
			taken++
		}
		room--
		s.prepare(&instanceOrder{instance: i, wave: w.Number})
	}
	return taken
}

// wavePace is the part of its time in which a wave is carried out evenly when no instance is to spare; the rest is for
// instances whose tasks have to be moved first.
const wavePace = 0.65

// owed returns how many instances of the wave must be taken now to stay in time.
func (s *Scheduler) owed(w *wave) int {
	if w.Deadline <= 0 {
		return len(w.Instances)
	}
	passed := s.now.Sub(w.seen).Seconds() / (wavePace * w.Deadline.Seconds())
	due := int(passed * float64(len(w.Instances)))
	prepared := 0
	for i := range w.left {
		if o := s.fleet.orders[i]; o != nil && o.wave == w.Number {
			prepared++
		}
	}
	return due - (len(w.Instances) - len(w.left)) - prepared
}
