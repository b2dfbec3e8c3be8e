package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// tinyDeployment returns a deployment that keeps the runs of the tests short. The questionnaire lends its two spares to
// other pools than those to which the policy spread_spares assigns them, so that the policy makes a difference.
func tinyDeployment() Deployment {
	return Deployment{
		Name: "tiny", Title: "Tiny", Nodes: 3, Spares: 2, Slots: 4, Connections: 16, WorkersPerRack: 2,
		OutAtOncePercent: 20, DataCentreLoad: 1.2, DataCentres: dataCentres("dc1", "dc2"),
		Weights: Weights{BufferCost: 1, RollOut: 1, Moves: 1, Share: 1, DataCentre: 1, Missed: 1, Urgent: 1},
		Work: []Work{
			{Name: "price", Workers: 3, RunTime: 600 * time.Millisecond, Deadline: 3 * time.Second},
			{Name: "reconcile", Workers: 3, RunTime: 2 * time.Second},
		},
		Teams: []TeamLoad{
			{Name: "large", Size: berylplan.SizeLarge, LoadWeight: 2},
			{Name: "small", Size: berylplan.SizeSmall, LoadWeight: 1},
		},
	}
}

func tinyPace() Pace {
	return Pace{Hour: 2 * time.Second, Burst: 5 * time.Second, Event: 20 * time.Second, Wave: 20 * time.Minute}
}
