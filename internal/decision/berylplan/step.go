package berylplan

import (
	"slices"

	"github.com/beryllatch/beryllatch"
)

// StepKind names a step of a wave or a move.
type StepKind string

// The steps of waves and moves.
const (
	// StepDrain takes an instance of a wave out of service.
	StepDrain StepKind = "drain"
	// StepReboot records the reboot of a drained instance; the reboot is requested after the write.
	StepReboot StepKind = "reboot"
	// StepReturn puts a rebooted instance back into service and marks it done.
	StepReturn StepKind = "return"
	// StepRelease puts a draining instance of a stopped wave back into service.
	StepRelease StepKind = "release"
	// StepJoin lets a drained instance join the pool that it moves to.
	StepJoin StepKind = "join"
	// StepFinish ends a wave that has no instance left.
	StepFinish StepKind = "finish"
	// StepStop ends a wave since too many instances are unhealthy.
	StepStop StepKind = "stop"
)

// Step is one step of a wave or a move; it is a Change, so the budgets are checked once more as it is applied.
type Step struct {
	Kind     StepKind
	Instance string
	Wave     string
	// BootID is the boot identifier seen before a reboot.
	BootID string
	Reason string
}

func (s Step) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	i := c.Instances[s.Instance]
	switch s.Kind {
	case StepDrain:
		i = startDrain(c, i)
		i.Wave = s.Wave
	case StepReboot:
		i.State, i.BootID = beryllatch.InstanceRebooting, s.BootID
	case StepReturn:
		c = markDone(c, i)
		i = activate(i)
	case StepRelease:
		i = activate(i)
	case StepJoin:
		i.Pool = i.MoveTo
		i = activate(i)
	case StepFinish:
		return setWave(c, s.Wave, beryllatch.WaveDone, "", beryllatch.WaveRunning)
	case StepStop:
		return setWave(c, s.Wave, beryllatch.WaveStopped, s.Reason, beryllatch.WaveRunning)
	}
	return c.WithInstance(i), nil
}

func markDone(c beryllatch.Config, i beryllatch.Instance) beryllatch.Config {
	w, ok := c.Waves[i.Wave]
	if !ok || slices.Contains(w.Done, i.ID) {
		return c
	}
	w.Done = slices.Sorted(slices.Values(append(slices.Clone(w.Done), i.ID)))
	return c.WithWave(w)
}
