package berylmeasure

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Result holds the measures of one run; docs/MEASURES.md defines them. A measure that a run does not have is nil.
type Result struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Run        string `json:"run"`
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	Done       int    `json:"done"`
	Cancelled  int    `json:"cancelled"`
	Failed     int    `json:"failed"`
	// BufferCost is in instance-hours a day.
	BufferCost float64 `json:"buffer_cost_instance_hours_per_day"`
	// RollOut is in virtual minutes.
	RollOut *float64 `json:"roll_out_minutes,omitempty"`
	Moves   int      `json:"moves"`
	// ShareDistance is the mean absolute distance in percent of the share.
	ShareDistance *float64 `json:"share_distance_percent,omitempty"`
	// DataCentreWork is in percent of the same run in which the data centre stays in service.
	DataCentreWork *float64 `json:"data_centre_work_percent,omitempty"`
	// Missed is in percent of the requests that were not cancelled.
	Missed float64 `json:"deadlines_missed_percent"`
	// UrgentStartP99 is in milliseconds.
	UrgentStartP99 float64 `json:"urgent_start_p99_ms"`
	// Refused counts the refused requests by reason.
	Refused map[string]int `json:"refused,omitempty"`
	// Broken counts broken promises by name.
	Broken map[string]int `json:"promises_broken,omitempty"`
}

const percent = 100

func (f *fleet) result() Result {
	m := &f.meter
	r := Result{
		Deployment: f.deployment.Name, Policy: f.policy.Name, Run: f.script.name, Seed: f.seed,
		Requests: m.requests, Done: m.done, Cancelled: m.cancelled, Failed: m.failed, Moves: m.moves,
		BufferCost:     24 * m.spareSum / float64(max(1, m.samples)),
		UrgentStartP99: float64(m.urgent.ValueAtPercentile(99)) / float64(time.Millisecond/time.Microsecond),
		Refused:        map[string]int{}, Broken: maps.Clone(f.audit.brokenPromises),
	}
	for reason, n := range m.refused {
		r.Refused[string(reason)] = n
	}
	if uncancelled := m.requests - m.cancelled; uncancelled > 0 {
		r.Missed = percent * float64(uncancelled-m.done) / float64(uncancelled)
	}
	if m.lastWaveEnd > m.firstWaveStart {
		minutes := (m.lastWaveEnd - m.firstWaveStart).Minutes()
		r.RollOut = &minutes
	}
	if m.shareDistance.n > 0 {
		distance := m.shareDistance.value()
		r.ShareDistance = &distance
	}
	return r
}

// brokenCount returns the number of broken promises.
func (r Result) brokenCount() int {
	n := 0
	for _, x := range r.Broken {
		n += x
	}
	return n
}

// Summary returns the result as one line.
func (r Result) Summary() string {
	return fmt.Sprintf(
		"%s/%s/%s seed=%d requests=%d done=%d cancelled=%d failed=%d buffer=%.1f roll_out=%s moves=%d share=%s dc_work=%s "+
			"missed=%.2f urgent_p99=%.1f refused=%s broken=%s",
		r.Deployment, r.Policy, r.Run, r.Seed, r.Requests, r.Done, r.Cancelled, r.Failed, r.BufferCost,
		formatOptional(r.RollOut), r.Moves, formatOptional(r.ShareDistance), formatOptional(r.DataCentreWork), r.Missed,
		r.UrgentStartP99, formatCounts(r.Refused), formatCounts(r.Broken),
	)
}

// formatOptional returns the measure with one decimal place, or a dash if the run does not have it.
func formatOptional(x *float64) string {
	if x == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f", *x)
}

// formatCounts returns the counts by name, in ascending order of the names.
func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	var parts []string
	for _, k := range beryllatch.SortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s:%d", k, m[k]))
	}
	return strings.Join(parts, ",")
}
