package berylreducer

import "github.com/beryllatch/beryllatch"

// StatusAsked asks for the state of the fleet as the node sees it.
type StatusAsked struct {
	// CallID identifies the call that waits for a ReplyStatus.
	CallID string
}

func (StatusAsked) event() {}

// ReplyStatus answers a StatusAsked event.
type ReplyStatus struct {
	CallID string
	Status Status
}

func (ReplyStatus) effect() {}

// Status is the state of the fleet as one node sees it; its lists are sorted.
type Status struct {
	MayStart      bool
	ConfigVersion uint64
	Nodes         []NodeRow
	Teams         []Demand
	Instances     []InstanceView
}

// InstanceView is one instance as a node sees it.
type InstanceView struct {
	beryllatch.Instance
	Healthy bool
	Leaving bool
	// Running is the number of executions that this node runs there.
	Running int
}

func (r *Reducer) statusAsked(e StatusAsked) {
	s := Status{MayStart: r.mayStart(), ConfigVersion: r.config.Version, Teams: r.demand()}
	for _, m := range r.registered() {
		s.Nodes = append(s.Nodes, m.row)
	}
	for _, id := range beryllatch.SortedKeys(r.config.Instances) {
		w := r.workers[id]
		if w == nil {
			continue
		}
		s.Instances = append(s.Instances, InstanceView{
			Instance: r.config.Instances[id], Healthy: !w.unhealthy && w.bootID != "", Leaving: w.leaving, Running: w.running,
		})
	}
	r.emit(ReplyStatus{CallID: e.CallID, Status: s})
}
