package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/bench/berylprove"
)

func main() {
	var settings struct {
		KnownRed string `default:"KNOWN-RED.txt" help:"File that lists the tests which are known to fail."`
	}
	kong.Parse(&settings, kong.Name("berylprove"), kong.Description("Prints what the tests prove of each promise."))
	if err := run(settings.KnownRed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(knownRed string) error {
	known, err := berylprove.KnownFailures(knownRed)
	if err != nil {
		return err
	}
	outcomes, err := berylprove.Run(context.Background(), os.Stderr)
	if err != nil {
		return err
	}
	if unexpected := berylprove.Print(os.Stdout, outcomes, known); len(unexpected) > 0 {
		return fmt.Errorf("failed or not run: %v", unexpected)
	}
	return nil
}
