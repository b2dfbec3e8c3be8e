package berylmeasure

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
	barWidth    = 5 * vg.Millimeter / 2
)

// chart is a bar chart of one measure, with a group of bars for each run and a bar for each policy.
type chart struct {
	file  string
	title string
	unit  string
	value func(Result) float64
}

func charts() []chart {
	return []chart{
		{file: "missed", title: "deadlines missed", unit: "percent", value: func(r Result) float64 { return r.Missed }},
		{file: "urgent", title: "urgent start p99", unit: "ms", value: func(r Result) float64 { return r.UrgentStartP99 }},
		{
			file: "buffer", title: "buffer cost", unit: "instance-hours a day",
			value: func(r Result) float64 { return r.BufferCost },
		},
		{file: "moves", title: "moves", unit: "count", value: func(r Result) float64 { return float64(r.Moves) }},
		{file: "share", title: "distance from the share", unit: "percent", value: func(r Result) float64 { return valueOrZero(r.ShareDistance) }},
		{
			file: "data-centre", title: "work done while a data centre leaves and returns", unit: "percent",
			value: func(r Result) float64 { return valueOrZero(r.DataCentreWork) },
		},
		{file: "roll-out", title: "roll-out time", unit: "virtual minutes", value: func(r Result) float64 { return valueOrZero(r.RollOut) }},
	}
}

func valueOrZero(x *float64) float64 {
	if x == nil {
		return 0
	}
	return *x
}

// WriteCharts writes SVG files into the directory: for each deployment, a chart of the scores and a chart of each
// measure.
func (r Report) WriteCharts(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create chart directory")
	}
	for _, deployment := range r.deployments() {
		if err := r.writeScoreChart(dir, deployment); err != nil {
			return err
		}
		for _, c := range charts() {
			if err := r.writeMeasureChart(dir, deployment, c); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployments returns the names of the deployments, in the order of the scores.
func (r Report) deployments() []string {
	var out []string
	for _, s := range r.Scores {
		if len(out) == 0 || out[len(out)-1] != s.Deployment {
			out = append(out, s.Deployment)
		}
	}
	return out
}

func (r Report) writeScoreChart(dir, deployment string) error {
	var values plotter.Values
	var names []string
	for _, s := range r.Scores {
		if s.Deployment == deployment {
			values, names = append(values, s.Score), append(names, s.Policy)
		}
	}
	p := newPlot(deployment+": score", "0 to 100, higher is better", names)
	if err := addBars(p, "", values, 0, 0); err != nil {
		return err
	}
	return saveChart(p, dir, deployment+"-score.svg")
}

func (r Report) writeMeasureChart(dir, deployment string, c chart) error {
	runs, policies, values := r.valuesByPolicy(deployment, c.value)
	p := newPlot(deployment+": "+c.title, c.unit, runs)
	for n, policy := range policies {
		offset := (vg.Length(n) - vg.Length(len(policies)-1)/2) * barWidth
		if err := addBars(p, policy, values[n], n, offset); err != nil {
			return err
		}
	}
	return saveChart(p, dir, deployment+"-"+c.file+".svg")
}

// valuesByPolicy returns the names of a deployment's runs and policies, in the order of the results, and the values of a
// measure by policy (first index) and run (second index).
func (r Report) valuesByPolicy(
	deployment string, value func(Result) float64,
) (runs, policies []string, values []plotter.Values) {
	runIndex, policyIndex := map[string]int{}, map[string]int{}
	for _, x := range r.Results {
		if x.Deployment != deployment {
			continue
		}
		if _, ok := runIndex[x.Run]; !ok {
			runIndex[x.Run] = len(runs)
			runs = append(runs, x.Run)
		}
		if _, ok := policyIndex[x.Policy]; !ok {
			policyIndex[x.Policy] = len(policies)
			policies = append(policies, x.Policy)
		}
	}
	values = make([]plotter.Values, len(policies))
	for n := range values {
		values[n] = make(plotter.Values, len(runs))
	}
	for _, x := range r.Results {
		if x.Deployment == deployment {
			values[policyIndex[x.Policy]][runIndex[x.Run]] = value(x)
		}
	}
	return runs, policies, values
}

func newPlot(title, unit string, names []string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(names...)
	return p
}

// addBars draws one bar for each value, with the offset from the middle of its group.
func addBars(p *plot.Plot, legend string, values plotter.Values, colour int, offset vg.Length) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return eris.Wrap(err, "make chart")
	}
	bars.Color = plotutil.Color(colour)
	bars.LineStyle.Width = 0
	bars.Offset = offset
	p.Add(bars)
	if legend != "" {
		p.Legend.Add(legend, bars)
	}
	return nil
}

func saveChart(p *plot.Plot, dir, file string) error {
	return eris.Wrap(p.Save(chartWidth, chartHeight, filepath.Join(dir, file)), "write chart")
}
