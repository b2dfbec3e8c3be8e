package berylplan

import (
	"slices"

	"github.com/beryllatch/beryllatch"
)

// StepKind is the kind of a step of a wave or a move.
type StepKind string

// The steps of waves and moves.
const (
	// StepDrain takes an instance of a wave out of service.
	StepDrain StepKind = "drain"
	// StepReboot marks a drained instance as rebooting. The reboot is requested only after this is stored.
	StepReboot StepKind = "reboot"
	// StepReturn puts a rebooted instance back into service and marks it as done in its wave.
	StepReturn StepKind = "return"
	// StepRelease puts a draining instance back into service before its reboot, because its wave has stopped or the budget
	// is exceeded.
	StepRelease StepKind = "release"
	// StepJoin completes a move: the drained instance joins the pool that it moves to.
	StepJoin StepKind = "join"
	// StepFinish marks a wave as done when all its instances are done.
	StepFinish StepKind = "finish"
	// StepStop stops a wave because too many instances are unhealthy.
	StepStop StepKind = "stop"
)

// Step is one step of a wave or a move. It is a Change, so the budgets are checked again when it is applied.
type Step struct {
	Kind     StepKind
	Instance string
	Wave     string
	// BootID is the boot identifier that the instance reported before its reboot.
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

// markDone adds the instance to the done instances of its wave.
func markDone(c beryllatch.Config, i beryllatch.Instance) beryllatch.Config {
	w, ok := c.Waves[i.Wave]
	if !ok || slices.Contains(w.Done, i.ID) {
		return c
	}
	w.Done = slices.Sorted(slices.Values(append(slices.Clone(w.Done), i.ID)))
	return c.WithWave(w)
}
