package berylplan

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// StepTime is the usual time of one drain and reboot.
const StepTime = 60 * time.Second

// Progress is the state of a wave at a glance.
type Progress struct {
	Wave  string               `json:"wave"`
	State beryllatch.WaveState `json:"state"`
	// Reason says why the wave stopped.
	Reason string `json:"reason,omitempty"`
	Total  int    `json:"total"`
	Done   int    `json:"done"`
	// UnderWay lists the instances that drain or reboot for the wave, sorted by data centre and rack.
	UnderWay []string `json:"under_way,omitempty"`
	// Left is the estimated time until the wave is done, in nanoseconds, if nothing fails.
	Left time.Duration `json:"left_ns"`
}

// WaveProgress returns the progress of a wave, given the time that one instance takes.
func WaveProgress(c beryllatch.Config, w beryllatch.Wave, perInstance time.Duration) Progress {
	all := members(c, w)
	p := Progress{Wave: w.ID, State: w.State, Reason: w.Reason, Total: len(all)}
	left := remaining(w, all)
	p.Done = p.Total - len(left)
	for _, i := range left {
		if i.Wave == w.ID {
			p.UnderWay = append(p.UnderWay, i.ID)
		}
	}
	if w.State != beryllatch.WaveDone {
		p.Left = Estimate(c, left, perInstance)
	}
	return p
}

// Estimate returns the time that the instances take, data centre after data centre: services go on in parallel, racks
// of one service one after another, instances of a rack in parallel up to the budget.
func Estimate(c beryllatch.Config, left []beryllatch.Instance, perInstance time.Duration) time.Duration {
	type rackKey struct{ dc, service, rack string }
	racks := map[rackKey]int{}
	for _, i := range left {
		racks[rackKey{dc: i.DataCentre, service: c.Pools[i.Pool].Service, rack: i.Rack}]++
	}
	type serviceKey struct{ dc, service string }
	rounds := map[serviceKey]int{}
	for k, n := range racks {
		budget := max(1, c.Services[k.service].MaxUnavailable)
		rounds[serviceKey{dc: k.dc, service: k.service}] += (n + budget - 1) / budget
	}
	longest := map[string]int{}
	for k, n := range rounds {
		longest[k.dc] = max(longest[k.dc], n)
	}
	sum := 0
	for _, n := range longest {
		sum += n
	}
	return time.Duration(sum) * perInstance
}
