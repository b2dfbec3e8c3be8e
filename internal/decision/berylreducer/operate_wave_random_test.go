package berylreducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"pgregory.net/rapid"
)

// waveSimulation runs a wave under random faults while nodes start work wherever their own configuration lets them.
type waveSimulation struct {
	*operateSimulation
	draw func(n int) int
	// pendingStarts holds the starts that are on their way to a worker.
	pendingStarts []pendingStart
	violation     string
}

// pendingStart is work that a node has sent and that the worker must refuse once the start-by time is over.
type pendingStart struct {
	worker string
	at     time.Duration
}

func newWaveSimulation(draw func(n int) int) *waveSimulation {
	s := &waveSimulation{operateSimulation: newOperateSimulation(wideConfig(1+draw(2)), "n1", "n2", "n3"), draw: draw}
	s.onReboot = func(x RebootWorker) {
		if w := s.workers[x.Instance]; w.running > 0 && x.BootID == fmt.Sprint(w.boot) {
			s.violation = "a reboot cuts work on " + x.Instance
		}
	}
	s.submit("n1", "op1", wave)
	return s
}

func (s *waveSimulation) step() {
	name := fmt.Sprintf("n%d", 1+s.draw(3))
	n := s.nodes[name]
	switch s.draw(10) {
	case 0:
		n.answers = append(n.answers, []writeAnswer{
			{result: WriteUnknown, applied: true}, {result: WriteUnknown}, {result: WriteUnknown, late: true},
		}[s.draw(3)])
	case 1:
		n.holdWrites = true
	case 2:
		s.releaseWrites(name)
	case 3:
		n.isolated = !n.isolated
	case 4:
		s.applyLate(name)
	case 5, 6:
		s.start(name, fmt.Sprintf("w%d", 1+s.draw(4)))
	case 7:
		s.workers[fmt.Sprintf("w%d", 1+s.draw(4))].running = 0
	default:
		for range 1 + s.draw(20) {
			s.run(100 * time.Millisecond)
			s.applyStarts()
		}
	}
}

// start sends work if the node may start it under its own configuration; it arrives within the start-by
// limit and the allowance for the worker's clock.
func (s *waveSimulation) start(name, worker string) {
	r := &s.nodes[name].r
	i := r.config.Instances[worker]
	r.now = s.now
	if r.mayStart() && i.State == beryllatch.InstanceActive && i.MoveTo == "" {
		latest := startByLimit + 500*time.Millisecond
		delay := time.Duration(s.draw(int(latest/time.Millisecond))) * time.Millisecond
		s.pendingStarts = append(s.pendingStarts, pendingStart{worker: worker, at: s.now.Mono + delay})
	}
}

func (s *waveSimulation) applyStarts() {
	var later []pendingStart
	for _, a := range s.pendingStarts {
		if a.at <= s.now.Mono {
			s.workers[a.worker].running = 1
		} else {
			later = append(later, a)
		}
	}
	s.pendingStarts = later
}

// endFaults ends the faults and the work, and waits for the wave.
func (s *waveSimulation) endFaults() {
	for _, name := range []string{"n1", "n2", "n3"} {
		n := s.nodes[name]
		n.isolated, n.answers = false, nil
		s.releaseWrites(name)
		s.applyLate(name)
	}
	for range 200 {
		if s.head.Waves["w"].State == beryllatch.WaveDone {
			return
		}
		s.run(time.Second)
		s.applyStarts()
		for _, w := range s.workers {
			w.running = 0
		}
	}
}

// TestWaveUnderFaults guards against a reboot that cuts work which another node started, a worker that is rebooted twice
// and a wave that never ends.
func TestWaveUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newWaveSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 80 {
			sim.step()
		}
		sim.endFaults()
		for id, w := range sim.workers {
			if w.boot != 2 {
				sim.violation = fmt.Sprintf("%s was rebooted %d times", id, w.boot-1)
			}
		}
		if state := sim.head.Waves["w"].State; state != beryllatch.WaveDone {
			sim.violation = "the wave is " + string(state)
		}
		if sim.violation != "" {
			t.Fatalf("%s\n%s", sim.violation, sim.log.String())
		}
	})
}
