package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/bench/berylsoak"
)

// options are the flags of the command line.
type options struct {
	berylsoak.Soak
	Seeds int `default:"1" help:"Number of seeds, from --seed on."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("berylsoak"), kong.UsageOnError(),
		kong.Description("Soaks beryljobd processes in faults and checks what callers and workers saw."))
	failed := 0
	for range o.Seeds {
		r, err := o.Run(context.Background())
		if err != nil {
			fmt.Fprintln(os.Stderr, "berylsoak:", err)
			os.Exit(2)
		}
		fmt.Printf("seed %d: %d accepted, %d done, %d refused, %d refusals, %d checked, %d faults, %d violations\n",
			o.Seed, r.Accepted, r.Done, r.Refused, r.Refusals, r.Checked, len(r.Faults), len(r.Violations))
		if len(r.Violations) > 0 {
			failed++
			for _, line := range append(r.Faults, r.Violations...) {
				fmt.Println("  ", line)
			}
		}
		o.Seed++
	}
	fmt.Printf("%d passed, %d failed\n", o.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
