package berylmeasure

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// newTestFleet returns a fleet that does not run: tests call its workers and its audit directly.
func newTestFleet(t *testing.T) *fleet {
	t.Helper()
	f, err := newFleet(tinyDeployment(), Policies()[0], fullFleet(tinyPace()), 1)
	assert.NilError(t, err)
	return f
}

// newExecution returns an execution of a request that is not idempotent.
func (f *fleet) newExecution(work, team int, w *worker) *execution {
	e := beryllatch.Execution{StartBy: epoch.Add(time.Hour), LeaseExpiry: epoch.Add(time.Hour)}
	return &execution{
		q: &request{work: work, team: team, runTime: time.Minute}, node: f.nodes[0], worker: w,
		dispatch: berylreducer.Dispatch{Execution: e},
	}
}

// Guards against an audit that overlooks a broken promise: each case breaks one on purpose.
func TestAuditSeesBrokenPromises(t *testing.T) {
	cases := map[string]func(f *fleet){
		PromiseOnce: func(f *fleet) {
			x := f.newExecution(0, 0, f.workers["w000"])
			f.startExecution(x)
			second := *x
			f.startExecution(&second)
		},
		PromiseOnePool: func(f *fleet) {
			f.startExecution(f.newExecution(0, 0, f.workers["w000"]))
			f.startExecution(f.newExecution(1, 0, f.workers["w000"]))
		},
		PromiseDataCentre: func(f *fleet) {
			c := f.config()
			after, err := berylplan.Apply(c, f.health(), berylplan.SetDataCentreOut{Name: "dc1", Out: true})
			assert.NilError(t, err)
			f.audit.checkConfig(c, after)
			f.startExecution(f.newExecution(0, 0, f.workers["w000"]))
			f.now = startGrace + 1
			f.startExecution(f.newExecution(0, 0, f.workers["w000"]))
		},
		PromiseBudget: func(f *fleet) {
			c := f.config()
			after := c
			for _, id := range f.workerIDs[:2] {
				i := c.Instances[id]
				i.State = beryllatch.InstanceDraining
				after = after.WithInstance(i)
			}
			f.audit.checkConfig(c, after)
		},
		PromiseGraceful: func(f *fleet) {
			f.startExecution(f.newExecution(0, 0, f.workers["w000"]))
			f.reboot(f.workers["w000"])
		},
		PromiseCeiling: func(f *fleet) {
			ceiling := f.config().Teams["small"].Ceiling
			for n := range ceiling + 1 {
				f.startExecution(f.newExecution(0, 1, f.workers[f.workerIDs[n/f.deployment.Slots]]))
			}
		},
	}
	for promise, breakPromise := range cases {
		t.Run(promise, func(t *testing.T) {
			f := newTestFleet(t)
			breakPromise(f)
			assert.DeepEqual(t, f.audit.brokenPromises, map[string]int{promise: 1})
		})
	}
}

// Guards against a good score for a policy that breaks a promise.
func TestBrokenPromiseScoresNothing(t *testing.T) {
	r := Result{Broken: map[string]int{PromiseCeiling: 1}}
	assert.Equal(t, newScore(tinyDeployment(), ChosenPolicy, []Result{r}).Score, 0.0)
	assert.Assert(t, newScore(tinyDeployment(), ChosenPolicy, []Result{{}}).Score > 0)
}
