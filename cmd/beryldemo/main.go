package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch/internal/bench/beryldemo"
)

func main() {
	var settings struct {
		Bin      string        `default:"bin" type:"existingdir" help:"Directory of the built programs."`
		Examples string        `default:"examples" type:"existingdir" help:"Directory of the example answers."`
		Timeout  time.Duration `default:"3m" help:"Time limit for the fleet of one user."`
	}
	kong.Parse(&settings, kong.Name("beryldemo"), kong.Description("Runs the example users' fleets on loopback."))
	failed := false
	for _, u := range beryldemo.Users(settings.Examples) {
		ctx, cancel := context.WithTimeout(context.Background(), settings.Timeout)
		if err := beryldemo.Run(ctx, os.Stdout, settings.Bin, u); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = true
		}
		cancel()
	}
	if failed {
		os.Exit(1)
	}
}
