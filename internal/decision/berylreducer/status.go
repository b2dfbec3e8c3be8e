package berylreducer

import "github.com/beryllatch/beryllatch"

// StatusRequested is a query for the state of the fleet as the node sees it.
type StatusRequested struct {
	// CallID identifies the call that waits for a ReplyStatus.
	CallID string
}

func (StatusRequested) event() {}

// ReplyStatus answers a StatusRequested event.
type ReplyStatus struct {
	CallID string
	Status Status
}

func (ReplyStatus) effect() {}

// Mode says whether, and on what basis, a node may start work.
type Mode string

// The modes of a node.
const (
	// ModeServing means that the node has a tenure by its own renewals.
	ModeServing Mode = "serving"
	// ModeOutage means that the node cannot renew its tenure, and that grants of its peers extend it.
	ModeOutage Mode = "outage"
	// ModeStale means that the node has no tenure and starts no work.
	ModeStale Mode = "stale"
)

func (r *Reducer) mode() Mode {
	switch {
	case r.outage():
		return ModeOutage
	case r.mayStart():
		return ModeServing
	default:
		return ModeStale
	}
}

// Status is the state of the fleet as one node sees it; its lists are sorted.
type Status struct {
	Mode          Mode
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
	// Running is the number of executions on the instance that this node started.
	Running int
}

func (r *Reducer) statusRequested(e StatusRequested) {
	s := Status{Mode: r.mode(), ConfigVersion: r.config.Version, Teams: r.demand()}
	s.Nodes = append(s.Nodes, NodeRow{Identity: r.self, ConfigVersion: r.config.Version, State: r.publishedState()})
	for _, m := range r.registeredMembers() {
		row := m.row
		if m.expired {
			row.State = NodeExpired
		}
		s.Nodes = append(s.Nodes, row)
	}
	for _, id := range beryllatch.SortedKeys(r.config.Instances) {
		w := r.workers[id]
		if w == nil {
			continue
		}
		s.Instances = append(s.Instances, InstanceView{
			Instance: r.config.Instances[id], Healthy: !w.unhealthy && w.bootID != "", Leaving: w.listedLeaving, Running: w.running,
		})
	}
	r.emit(ReplyStatus{CallID: e.CallID, Status: s})
}
