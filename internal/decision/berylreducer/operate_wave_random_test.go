package berylreducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"pgregory.net/rapid"
)

// waveTrial runs a wave under random faults while nodes start work wherever their own configuration lets them.
type waveTrial struct {
	*scene
	draw func(n int) int
	// arriving holds the starts that are on their way to a worker.
	arriving []arrivingStart
	broken   string
}

// arrivingStart is work that a node has sent and that the worker must refuse once the start-by time is over.
type arrivingStart struct {
	worker string
	at     time.Duration
}

func newWaveTrial(draw func(n int) int) *waveTrial {
	t := &waveTrial{scene: newScene(wideConfig(1+draw(2)), "n1", "n2", "n3"), draw: draw}
	t.onReboot = func(x RebootWorker) {
		if w := t.workers[x.Instance]; w.running > 0 && x.BootID == fmt.Sprint(w.boot) {
			t.broken = "a reboot cuts work on " + x.Instance
		}
	}
	t.ask("n1", "op1", wave)
	return t
}

func (t *waveTrial) act() {
	name := fmt.Sprintf("n%d", 1+t.draw(3))
	n := t.nodes[name]
	switch t.draw(10) {
	case 0:
		n.answers = append(n.answers, []sceneAnswer{
			{result: WriteUnknown, applied: true}, {result: WriteUnknown}, {result: WriteUnknown, late: true},
		}[t.draw(3)])
	case 1:
		n.hold = true
	case 2:
		t.release(name)
	case 3:
		n.cut = !n.cut
	case 4:
		t.applyLate(name)
	case 5, 6:
		t.start(name, fmt.Sprintf("w%d", 1+t.draw(4)))
	case 7:
		t.workers[fmt.Sprintf("w%d", 1+t.draw(4))].running = 0
	default:
		for range 1 + t.draw(20) {
			t.run(100 * time.Millisecond)
			t.arrive()
		}
	}
}

// start sends work if the node may start it under its own configuration; it arrives within the start-by
// limit and the allowance for the worker's clock.
func (t *waveTrial) start(name, worker string) {
	r := &t.nodes[name].r
	i := r.config.Instances[worker]
	r.now = t.now
	if r.mayStart() && i.State == beryllatch.InstanceActive && i.MoveTo == "" {
		latest := startByLimit + 500*time.Millisecond
		delay := time.Duration(t.draw(int(latest/time.Millisecond))) * time.Millisecond
		t.arriving = append(t.arriving, arrivingStart{worker: worker, at: t.now.Mono + delay})
	}
}

func (t *waveTrial) arrive() {
	var later []arrivingStart
	for _, a := range t.arriving {
		if a.at <= t.now.Mono {
			t.workers[a.worker].running = 1
		} else {
			later = append(later, a)
		}
	}
	t.arriving = later
}

// settle ends the faults and the work, and waits for the wave.
func (t *waveTrial) settle() {
	for _, name := range []string{"n1", "n2", "n3"} {
		n := t.nodes[name]
		n.cut, n.answers = false, nil
		t.release(name)
		t.applyLate(name)
	}
	for range 200 {
		if t.head.Waves["w"].State == beryllatch.WaveDone {
			return
		}
		t.run(time.Second)
		t.arrive()
		for _, w := range t.workers {
			w.running = 0
		}
	}
}

// TestWaveUnderFaults guards against a reboot that cuts work which another node started, a worker that is rebooted twice
// and a wave that never ends.
func TestWaveUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := newWaveTrial(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 80 {
			trial.act()
		}
		trial.settle()
		for id, w := range trial.workers {
			if w.boot != 2 {
				trial.broken = fmt.Sprintf("%s was rebooted %d times", id, w.boot-1)
			}
		}
		if state := trial.head.Waves["w"].State; state != beryllatch.WaveDone {
			trial.broken = "the wave is " + string(state)
		}
		if trial.broken != "" {
			t.Fatalf("%s\n%s", trial.broken, trial.log.String())
		}
	})
}
