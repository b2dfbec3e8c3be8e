package berylreducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// runningTasks counts the tasks that run on all workers.
func (w *taskSimulation) runningTasks() int {
	n := 0
	for _, worker := range w.workers {
		for _, run := range worker.runs {
			if run.state == beryllatch.TaskRunRunning {
				n++
			}
		}
	}
	return n
}

// newBusyTeamSimulation returns a simulation in which the team red has more tasks than its ceiling allows. The tasks do not
// complete by themselves.
func newBusyTeamSimulation(nodes, ceiling, tasks int) *taskSimulation {
	w := newBareTaskSimulation(nil)
	w.quiet = true
	w.config = w.config.WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: ceiling})
	for n := range nodes {
		w.addNode(fmt.Sprintf("n%d", n+1))
	}
	w.performAll()
	w.advance(5 * time.Second)
	for n := range tasks {
		w.submit(w.nodes[n%nodes], fmt.Sprintf("t%d", n), true)
	}
	w.advance(20 * time.Second)
	return w
}

// maxRunning advances the time by d and returns the highest number of tasks that ran at the same time.
func (w *taskSimulation) maxRunning(d time.Duration) int {
	highest := 0
	for range int(d / (100 * time.Millisecond)) {
		w.advance(100 * time.Millisecond)
		highest = max(highest, w.runningTasks())
	}
	return highest
}

// Guards against tasks above the ceiling when shards move to a new node, while their former owner, which holds all units,
// keeps running other tasks.
func TestCeilingWhenNodeJoins(t *testing.T) {
	w := newBusyTeamSimulation(1, 4, 16)
	assert.Equal(t, w.runningTasks(), 4)
	w.addNode("n2")
	assert.Equal(t, w.maxRunning(90*time.Second), 4)
	assert.Equal(t, w.runningTasks(), 4)
	total := 0
	for _, n := range w.starts {
		total += n
	}
	assert.Equal(t, total, 4, "a running task must not be restarted")
}

// Guards against tasks above the ceiling when a node crashes and its units become free before the nodes that have adopted
// its tasks hold units for them.
func TestCeilingWhenNodeDies(t *testing.T) {
	w := newBusyTeamSimulation(3, 6, 24)
	assert.Equal(t, w.runningTasks(), 6)
	w.kill(w.nodes[0])
	assert.Equal(t, w.maxRunning(120*time.Second), 6)
	assert.Equal(t, w.runningTasks(), 6)
	total := 0
	for _, n := range w.starts {
		total += n
	}
	assert.Equal(t, total, 6, "a running task must not be restarted")
}

// Guards against tasks above the ceiling after a graceful stop.
func TestCeilingWhenNodeStops(t *testing.T) {
	w := newBusyTeamSimulation(3, 6, 24)
	w.apply(w.nodes[0], StopRequested{})
	assert.Equal(t, w.maxRunning(120*time.Second), 6)
	assert.Equal(t, w.runningTasks(), 6)
}

// Guards against a new owner that keeps renewing a lease without a unit, and against a former owner that uses its unit
// again while that lease lasts or before it has read about the new owner's unit. In each case one of the two nodes can't
// read the unit row for a while.
func TestCeilingWithoutUnitRow(t *testing.T) {
	for cut := range 2 {
		w := newBusyTeamSimulation(1, 4, 16)
		w.addNode("n2")
		w.fault = func(n *fakeNode, e Effect) fault {
			if _, ok := e.(ReadUnits); ok && n == w.nodes[cut] {
				return faultHeld
			}
			return faultNone
		}
		assert.Equal(t, w.maxRunning(60*time.Second), 4, w.nodes[cut].id.Node)
		w.fault = nil
		assert.Equal(t, w.maxRunning(30*time.Second), 4, w.nodes[cut].id.Node)
		assert.Equal(t, w.runningTasks(), 4)
	}
}
