package berylreducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"pgregory.net/rapid"
)

// waveSimulation runs a wave under random faults, while nodes start work on every worker that their configuration allows.
type waveSimulation struct {
	*operateSimulation
	draw func(n int) int
	// pendingStarts holds the work that was sent but has not reached its worker.
	pendingStarts []pendingStart
	violation     string
}

// pendingStart is work that a node has sent; the worker starts it at the time at.
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

// start sends work to the worker if the node's own configuration allows it. The work arrives within the start-by limit plus
// the allowance for clock differences.
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
	var remaining []pendingStart
	for _, a := range s.pendingStarts {
		if a.at <= s.now.Mono {
			s.workers[a.worker].running = 1
		} else {
			remaining = append(remaining, a)
		}
	}
	s.pendingStarts = remaining
}

// endFaults ends the faults and all work, and waits until the wave is done.
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

// TestWaveUnderFaults guards against a reboot that interrupts work started by another node, a worker that is rebooted twice
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
