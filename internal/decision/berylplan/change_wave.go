package berylplan

import (
	"regexp"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// StartWave starts a maintenance wave.
type StartWave struct{ Wave beryllatch.Wave }

// PauseWave pauses a wave: drains and reboots under way are completed, and no new ones start.
type PauseWave struct{ ID string }

// ResumeWave continues a paused or stopped wave.
type ResumeWave struct{ ID string }

// StopWave stops a wave: draining instances return to service immediately, rebooting ones after their reboot.
type StopWave struct{ ID string }

// ReasonOperator is the reason of a wave that an operator stopped.
const ReasonOperator = "stopped by an operator"

// maxFinishedWaves is the maximum number of finished waves in the configuration document.
const maxFinishedWaves = 8

var waveID = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (ch StartWave) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	w := ch.Wave
	field := "waves." + w.ID
	if !waveID.MatchString(w.ID) {
		return c, invalid(field, "id must match %s", waveID)
	}
	if _, ok := c.Waves[w.ID]; ok {
		return c, &ExistsError{Field: field}
	}
	if len(w.Services) == 0 {
		return c, invalid(field+".services", "must name at least one service")
	}
	if w.MaxUnhealthy < 0 {
		return c, invalid(field+".max_unhealthy", "must not be negative, got %d", w.MaxUnhealthy)
	}
	w.State, w.Done, w.Reason = beryllatch.WaveRunning, nil, ""
	w.Services = slices.Compact(slices.Sorted(slices.Values(w.Services)))
	if err := checkWaveOverlap(c, w); err != nil {
		return c, err
	}
	return dropFinishedWaves(c).WithWave(w), nil
}

// checkWaveOverlap returns an *InUseError if another unfinished wave maintains one of the wave's services.
func checkWaveOverlap(c beryllatch.Config, w beryllatch.Wave) error {
	for _, id := range beryllatch.SortedKeys(c.Waves) {
		other := c.Waves[id]
		if id == w.ID || finished(other) {
			continue
		}
		for _, s := range w.Services {
			if slices.Contains(other.Services, s) {
				return &InUseError{Field: "waves." + w.ID + ".services." + s, Users: []string{"waves." + id}}
			}
		}
	}
	return nil
}

func finished(w beryllatch.Wave) bool {
	return w.State == beryllatch.WaveDone || w.State == beryllatch.WaveStopped
}

// dropFinishedWaves removes finished waves without instances, in the order of their ids, until fewer than
// maxFinishedWaves are left. The ids of removed waves may be used again.
func dropFinishedWaves(c beryllatch.Config) beryllatch.Config {
	var ids []string
	for _, id := range beryllatch.SortedKeys(c.Waves) {
		if finished(c.Waves[id]) && !hasInstances(c, id) {
			ids = append(ids, id)
		}
	}
	for len(ids) >= maxFinishedWaves {
		c = c.WithoutWave(ids[0])
		ids = ids[1:]
	}
	return c
}

// hasInstances reports whether the wave still has instances that it drained or rebooted.
func hasInstances(c beryllatch.Config, id string) bool {
	for _, i := range c.Instances {
		if i.Wave == id {
			return true
		}
	}
	return false
}

func (ch PauseWave) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return setWave(c, ch.ID, beryllatch.WavePaused, "", beryllatch.WaveRunning)
}

func (ch ResumeWave) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	next, err := setWave(c, ch.ID, beryllatch.WaveRunning, "", beryllatch.WavePaused, beryllatch.WaveStopped)
	if err != nil {
		return c, err
	}
	return next, checkWaveOverlap(next, next.Waves[ch.ID])
}

func (ch StopWave) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return setWave(c, ch.ID, beryllatch.WaveStopped, ReasonOperator, beryllatch.WaveRunning, beryllatch.WavePaused)
}

// setWave changes the state and the reason of a wave; it is refused unless the wave is in one of the from states.
func setWave(
	c beryllatch.Config, id string, to beryllatch.WaveState, reason string, from ...beryllatch.WaveState,
) (beryllatch.Config, error) {
	w, ok := c.Waves[id]
	if !ok {
		return c, &NotFoundError{Field: "waves." + id}
	}
	if !slices.Contains(from, w.State) {
		return c, &StateError{Field: "waves." + id + ".state", State: string(w.State), Want: string(from[0])}
	}
	w.State, w.Reason = to, reason
	return c.WithWave(w), nil
}
