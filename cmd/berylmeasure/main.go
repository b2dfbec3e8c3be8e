package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/bench/berylmeasure"
)

// parallel is the number of runs at a time. It bounds the memory and does not affect the results.
const parallel = 4

var flags struct {
	Seed uint64              `help:"Seed of all random choices." default:"1"`
	JSON bool                `name:"json" help:"Print the report as JSON."`
	Only berylmeasure.Filter `embed:""`
	SVG  string              `name:"svg" help:"Write charts into this directory." placeholder:"DIR" type:"path"`
}

func main() {
	k := kong.Parse(
		&flags, kong.Name("berylmeasure"), kong.UsageOnError(),
		kong.Description("Measures the policies of beryllatch side by side on a virtual clock."),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	k.FatalIfErrorf(run(ctx))
}

func run(ctx context.Context) error {
	plan, err := berylmeasure.FullPlan(flags.Seed, parallel).Restrict(flags.Only)
	if err != nil {
		return err
	}
	report, err := berylmeasure.Measure(ctx, plan)
	if err != nil {
		return err
	}
	if flags.SVG != "" {
		if err := report.WriteCharts(flags.SVG); err != nil {
			return err
		}
	}
	if flags.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(report)
	}
	return report.Print(os.Stdout)
}
