package berylplan

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// StepTime is the usual time for the drain and the reboot of one instance.
const StepTime = 60 * time.Second

// Progress summarises the state of a wave.
type Progress struct {
	Wave  string               `json:"wave"`
	State beryllatch.WaveState `json:"state"`
	// Reason says why the wave stopped.
	Reason string `json:"reason,omitempty"`
	Total  int    `json:"total"`
	Done   int    `json:"done"`
	// UnderWay lists the instances that drain or reboot for the wave, sorted by data centre and rack.
	UnderWay []string `json:"under_way,omitempty"`
	// Left is the estimated time until the wave is done if nothing fails; it is encoded in nanoseconds.
	Left time.Duration `json:"left_ns"`
}

// WaveProgress returns the progress of a wave; perInstance is the time for one drain and reboot.
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

// Estimate returns the time that a wave needs for the remaining instances. Data centres are maintained one after another.
// Within a data centre the services are maintained in parallel, the racks of a service one after another, and the
// instances of a rack in parallel up to the service's budget.
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
