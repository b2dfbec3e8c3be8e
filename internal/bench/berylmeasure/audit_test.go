package berylmeasure

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

func auditedFleet(t *testing.T) *fleet {
	t.Helper()
	f, err := newFleet(tiny(), Policies()[0], full(tinyPace()), 1)
	assert.NilError(t, err)
	return f
}

func (f *fleet) execution(work, team int, w *worker) *execution {
	e := beryllatch.Execution{StartBy: epoch.Add(time.Hour), LeaseExpiry: epoch.Add(time.Hour)}
	return &execution{
		q: &request{work: work, team: team, runTime: time.Minute}, node: f.nodes[0], worker: w,
		effect: berylreducer.Dispatch{Execution: e},
	}
}

// Guards against an audit that sees no broken promise: each case breaks one on purpose.
func TestAuditSeesBrokenPromises(t *testing.T) {
	cases := map[string]func(f *fleet){
		PromiseOnce: func(f *fleet) {
			x := f.execution(0, 0, f.workers["w000"])
			f.offer(x)
			again := *x
			f.offer(&again)
		},
		PromiseOnePool: func(f *fleet) {
			f.offer(f.execution(0, 0, f.workers["w000"]))
			f.offer(f.execution(1, 0, f.workers["w000"]))
		},
		PromiseDataCentre: func(f *fleet) {
			c := f.config()
			after, err := berylplan.Apply(c, f.health(), berylplan.SetDataCentreOut{Name: "dc1", Out: true})
			assert.NilError(t, err)
			f.audit.committed(c, after)
			f.offer(f.execution(0, 0, f.workers["w000"]))
			f.now = outGrace + 1
			f.offer(f.execution(0, 0, f.workers["w000"]))
		},
		PromiseBudget: func(f *fleet) {
			c := f.config()
			after := c
			for _, id := range f.order[:2] {
				i := c.Instances[id]
				i.State = beryllatch.InstanceDraining
				after = after.WithInstance(i)
			}
			f.audit.committed(c, after)
		},
		PromiseGraceful: func(f *fleet) {
			f.offer(f.execution(0, 0, f.workers["w000"]))
			f.reboot(f.workers["w000"])
		},
		PromiseCeiling: func(f *fleet) {
			ceiling := f.config().Teams["small"].Ceiling
			for n := range ceiling + 1 {
				f.offer(f.execution(0, 1, f.workers[f.order[n/f.deployment.Slots]]))
			}
		},
	}
	for promise, provoke := range cases {
		t.Run(promise, func(t *testing.T) {
			f := auditedFleet(t)
			provoke(f)
			assert.DeepEqual(t, f.audit.broken, map[string]int{promise: 1})
		})
	}
}

// Guards against a score that hides a broken promise.
func TestBrokenPromiseScoresNothing(t *testing.T) {
	r := Result{Broken: map[string]int{PromiseCeiling: 1}}
	assert.Equal(t, newScore(tiny(), Chosen, []Result{r}).Score, 0.0)
	assert.Assert(t, newScore(tiny(), Chosen, []Result{{}}).Score > 0)
}
