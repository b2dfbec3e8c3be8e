package berylplan

import "github.com/beryllatch/beryllatch"

// InstanceHealth is a node's view of one instance.
type InstanceHealth struct {
	// Live is true when the instance has reported that it is healthy and the platform does not list it as leaving.
	Live bool
	// Idle is true when nothing runs on the instance and no node can start work there any more.
	Idle bool
	// BootID is the boot identifier that the instance last reported; empty if it has not reported.
	BootID string
	// Overdue is true when the instance's current drain or reboot takes longer than allowed.
	Overdue bool
}

// Health is a node's view of the fleet by instance id; an instance without an entry counts as not live.
type Health map[string]InstanceHealth

// With returns a copy in which the health of one instance is replaced.
func (h Health) With(id string, i InstanceHealth) Health {
	out := make(Health, len(h)+1)
	for k, v := range h {
		out[k] = v
	}
	out[id] = i
	return out
}

// AllLive returns the health of a fleet in which every instance is live and idle and has the given boot id.
func AllLive(c beryllatch.Config, bootID string) Health {
	h := make(Health, len(c.Instances))
	for id := range c.Instances {
		h[id] = InstanceHealth{Live: true, Idle: true, BootID: bootID}
	}
	return h
}
