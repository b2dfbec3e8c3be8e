package berylscheduler

import (
	"errors"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// wave is a maintenance wave and its progress.
type wave struct {
	beryllatch.MaintenanceWave
	// firstSeen is when a scheduling node first read the wave.
	firstSeen time.Time
	// pending holds the instances whose maintenance has not begun.
	pending map[string]bool
	// ordered holds the pending instances whose maintenance has been ordered, or may be once that is stored.
	ordered map[string]*maintenanceRecord
	done    bool
	// short is true while the wave has no time to wait for more than the short runs on its instances, hurried while it can't wait
	// for them either, see planWaves. triedAt is when an instance was last tried that was not listed as up, or
	// whose order the platform rejected as invalid.
	short, hurried bool
	triedAt        map[string]time.Time
	// writtenStatus is the status that is written for operators, writingStatus the one that is being written.
	writtenStatus, writingStatus string
	rowVersion                   int64
	queued                       bool
	inFlight                     bool
	// change counts the changes of what the wave's row holds, storedChange is the last one that is stored.
	change, storedChange int
}

// maintenanceRecord is the record that the maintenance of an instance may have been ordered. It is stored before the order goes out: an order
// without an answer may be carried out late, also when another node schedules, which has to count the instance as down until then.
type maintenanceRecord struct {
	// change is the change of the wave that made the record.
	change int
	// sent is true while an order may be carried out, unanswered once one had no answer.
	sent, unanswered bool
}

// waveRow is the stored form of a wave's progress.
type waveRow struct {
	// Seen is when a scheduling node first read the wave, in Unix milliseconds.
	Seen int64 `json:"seen,omitempty"`
	// Begun holds the instances whose maintenance has begun or that have left the wave.
	Begun []string `json:"begun,omitempty"`
	// Ordered holds the other instances whose maintenance may have been ordered.
	Ordered []string `json:"ordered,omitempty"`
}

func (w *wave) encode() []byte {
	row := waveRow{Seen: w.firstSeen.UnixMilli()}
	for _, i := range w.Instances {
		if !w.pending[i] {
			row.Begun = append(row.Begun, i)
		} else if w.ordered[i] != nil {
			row.Ordered = append(row.Ordered, i)
		}
	}
	return mustEncode(row)
}

// storedWave is the row of a wave as an earlier epoch stored it.
type storedWave struct {
	waveRow
	version int64
}

// markBegun records that the maintenance of an instance has begun, or that the instance needs none any more.
func (s *Scheduler) markBegun(w *wave, instance string) {
	if !w.pending[instance] {
		return
	}
	delete(w.pending, instance)
	delete(w.ordered, instance)
	w.change++
	s.journal.queueWave(w)
}

// recordMaintenance records that the maintenance of an instance may be ordered, and reports whether the record is stored.
func (s *Scheduler) recordMaintenance(w *wave, instance string) bool {
	r := w.ordered[instance]
	if r == nil {
		w.change++
		w.ordered[instance] = &maintenanceRecord{change: w.change}
		s.journal.queueWave(w)
		return false
	}
	return w.storedChange >= r.change
}

// maintenanceFailed updates the record of an order that has failed, certainly without an effect if rejected is true.
func (w *wave) maintenanceFailed(instance string, rejected bool) {
	if r := w.ordered[instance]; r != nil {
		r.unanswered = r.unanswered || !rejected
		r.sent = r.unanswered
	}
}

// dropRecord deletes the record of an order that can't be carried out any more.
func (s *Scheduler) dropRecord(w *wave, instance string) {
	if r := w.ordered[instance]; r != nil && !r.sent {
		delete(w.ordered, instance)
		w.change++
		s.journal.queueWave(w)
	}
}

// mayBeMaintainedLate reports whether an order for the instance's maintenance may still be carried out.
func (s *Scheduler) mayBeMaintainedLate(instance string) bool {
	for _, w := range s.fleet.waves {
		if r := w.ordered[instance]; r != nil && r.sent {
			return true
		}
	}
	return false
}

// markLateMaintenance updates which workers may still be stopped by an order for maintenance, whether or not the order is being repeated.
// They get no tasks, and those that they have count as missing.
func (s *Scheduler) markLateMaintenance() {
	for _, k := range s.sortedWorkers {
		if k.instanceOrderSent && k.preparedFor == "" && s.fleet.orders[k.info.Instance] == nil {
			k.instanceOrderSent = s.mayBeMaintainedLate(k.info.Instance)
			s.placementDue = s.placementDue || !k.instanceOrderSent
		}
	}
	for _, w := range s.fleet.waves {
		for i, r := range w.ordered {
			if k := s.workerOn(i); k != nil && r.sent {
				k.instanceOrderSent = true
			}
		}
	}
}

// updateWaves adds new waves, and removes those that operators have withdrawn with their orders that have not been sent.
func (s *Scheduler) updateWaves() {
	f := &s.fleet
	for n, m := range s.operations.Waves {
		if f.waves[n] != nil {
			continue
		}
		w := &wave{MaintenanceWave: m, firstSeen: s.now, pending: make(map[string]bool), ordered: make(map[string]*maintenanceRecord)}
		for _, i := range m.Instances {
			w.pending[i] = true
		}
		if row, ok := f.storedWaves[n]; ok {
			w.rowVersion = row.version
			if row.Seen > 0 {
				w.firstSeen = notAfterNow(time.UnixMilli(row.Seen), s.now)
			}
			for _, i := range row.Begun {
				delete(w.pending, i)
			}
			for _, i := range row.Ordered {
				if w.pending[i] {
					w.ordered[i] = &maintenanceRecord{sent: true, unanswered: true}
				}
			}
		} else {
			s.journal.queueWave(w)
		}
		f.waves[n] = w
		s.emit(Decision{Name: "wave_seen", Detail: strings.Join(m.Instances, " ")})
	}
	for n := range f.waves {
		if _, ok := s.operations.Waves[n]; !ok {
			delete(f.waves, n)
		}
	}
	for _, o := range f.orders {
		if o.wave > 0 && f.waves[o.wave] == nil && !o.wasSent() {
			s.dropInstanceOrder(o)
		}
	}
	s.markLateMaintenance()
}

// hasOpenWave reports whether a wave is not done.
func (s *Scheduler) hasOpenWave() bool {
	for _, w := range s.fleet.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// writeWaveStatus writes a wave's status for operators if it has changed.
func (s *Scheduler) writeWaveStatus(w *wave) {
	status := "running"
	if w.done {
		status = "done"
	}
	if w.writtenStatus == status || w.writingStatus != "" || s.journal.unavailable(s.now) {
		return
	}
	w.writingStatus = status
	s.emit(WriteWaveStatus{Wave: w.Number, Done: w.done})
}

func (s *Scheduler) statusWritten(e StatusWritten) {
	w := s.fleet.waves[e.Wave]
	if w == nil {
		return
	}
	var conflict *beryllatch.RowConflictError
	switch {
	case e.Err == nil:
		w.writtenStatus = w.writingStatus
	case errors.As(e.Err, &conflict):
		s.resign("another node has taken over")
	}
	w.writingStatus = ""
}

// countInstancesDown counts the instances of a wave that are in maintenance, or have or may have an order for it.
func (s *Scheduler) countInstancesDown(w *wave) int {
	n := 0
	for _, i := range w.Instances {
		o := s.fleet.orders[i]
		ordered := o != nil && o.wave == w.Number && !s.isBack(o) && !s.waitsOutsideMaximum(w, o)
		if ordered || w.ordered[i] != nil || s.fleet.instances[i].State == beryllatch.FleetInstanceMaintenance {
			n++
		}
	}
	return n
}

// hasRoomInWave reports whether the order leaves its wave within the limit: another node may have ordered instances of it since the order
// was prepared. An order without a record also leaves room for those that have one: all records together stay within the limit, since a
// node that takes over counts each of them.
func (s *Scheduler) hasRoomInWave(o *instanceOrder) bool {
	w := s.fleet.waves[o.wave]
	if w == nil {
		return true
	}
	recorded := w.ordered[o.instance] != nil
	down := 0
	for _, i := range w.Instances {
		if i == o.instance {
			continue
		}
		other, r := s.fleet.orders[i], w.ordered[i]
		if r != nil && (r.sent || !recorded) ||
			other != nil && other.wave == w.Number && (other.inFlight || !other.confirmedAt.IsZero() && !s.isBack(other)) ||
			s.fleet.instances[i].State == beryllatch.FleetInstanceMaintenance {
			down++
		}
	}
	return down < w.MaxDown
}

// advanceWave prepares the maintenance of further instances, in the order of waveCandidates. It takes as many as are
// spare or as the deadline requires, whichever is more, and leaves the others for bursts. Instances of evacuated data centres
// are taken in addition, since they serve no pool, and so are those that have to be taken early: tasks leave them also while the
// maximum is down. It returns the number of instances taken outside evacuated data centres.
func (s *Scheduler) advanceWave(w *wave, spare int) int {
	if s.fleet.listShows.Sub(w.firstSeen) > listDelay {
		for _, i := range w.Instances {
			if _, ok := s.fleet.instances[i]; !ok && w.pending[i] {
				s.markBegun(w, i)
				s.emit(Decision{Name: "wave_instance_gone", Worker: i})
			}
		}
	}
	if len(w.pending) == 0 {
		w.done = true
		s.writeWaveStatus(w)
		return 0
	}
	vacating := s.planVacating(w)
	s.orderAgain(w, vacating)
	room := w.MaxDown - s.countInstancesDown(w)
	required := s.requiredNow(w)
	taken := 0
	for _, c := range s.waveCandidates(w, vacating, room) {
		evacuated := s.operations.Evacuated[s.fleet.instances[c.instance].DataCentre]
		switch {
		case c.early && !vacating.mayPrepare(c.instance):
			continue
		case !c.early && (room <= 0 || !evacuated && taken >= max(spare, required)):
			continue
		}
		if !evacuated {
			taken++
		}
		if c.early {
			vacating.recordPrepared(c.instance)
		}
		s.takeInstance(w, c.instance, c.early)
		if !s.waitsOutsideMaximum(w, s.fleet.orders[c.instance]) {
			room--
		}
	}
	return taken
}

// orderAgain prepares the maintenance of instances for which it may have been ordered before: once the platform has confirmed an order of
// this epoch, an earlier one can't be carried out late.
func (s *Scheduler) orderAgain(w *wave, p vacatePlan) {
	for _, i := range w.Instances {
		r := w.ordered[i]
		if r != nil && r.sent && s.canTake(w, i) && !s.hidesRuns(w, i) {
			s.takeInstance(w, i, s.isEarly(w, p, i))
		}
	}
}

// wavePaceShare is the share of a wave's time in which its instances are taken at an even pace when no instance is spare; the
// rest is for instances whose long-running tasks have to be moved first.
const wavePaceShare = 0.65

// requiredNow returns how many further instances must be taken now so that the wave meets its deadline; all of them if it is short of
// time.
func (s *Scheduler) requiredNow(w *wave) int {
	if w.Deadline <= 0 || w.short {
		return len(w.Instances)
	}
	passed := s.now.Sub(w.firstSeen).Seconds() / (wavePaceShare * w.Deadline.Seconds())
	due := int(passed * float64(len(w.Instances)))
	prepared := 0
	for i := range w.pending {
		if o := s.fleet.orders[i]; o != nil && o.wave == w.Number {
			prepared++
		}
	}
	return due - (len(w.Instances) - len(w.pending)) - prepared
}
