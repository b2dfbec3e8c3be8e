package beryldemo

import (
	"context"
	"fmt"
	"slices"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
)

// report prints the replies to callers and the workers' records, and returns an error if they disagree.
func (d *demo) report(ctx context.Context, replies map[string]berylprocess.Reply, states map[string]string) error {
	starts, err := d.fleet.Starts(ctx)
	if err != nil {
		return err
	}
	s := berylprocess.Compare(replies, starts)
	d.printf("%-28s %8s", "requests: replies to callers", "count")
	d.printf("%-28s %8d", "  answered", s.Answered)
	d.printf("%-28s %8d  %v", "  refused, not run", s.NotRun, s.Reasons)
	d.printf("%-28s %8d", "  refused, unknown", s.Unknown)
	d.printf("%-28s %8d", "  connection broke", s.NoAnswer)
	d.printf("%-28s %8d", "requests: starts at workers", s.Starts)
	violations := slices.Concat(s.Violations, d.checkTasks(states, starts), d.checkDataCentre(starts))
	if len(violations) > 0 {
		return &ContradictionError{User: d.u.Name, Violations: violations}
	}
	d.printf("callers and workers agree")
	return nil
}

// checkTasks returns the tasks that were started more than once, and those that are done but were never started.
func (d *demo) checkTasks(states map[string]string, starts []berylprocess.Start) []string {
	startCount := map[string]int{}
	for _, s := range starts {
		startCount[s.ID]++
	}
	byState := map[string]int{}
	total := 0
	var out []string
	for _, id := range d.tasks {
		byState[states[id]]++
		total += startCount[id]
		if startCount[id] > 1 || (states[id] == "done" && startCount[id] == 0) {
			out = append(out, fmt.Sprintf("task %s is %s and was started %d times", id, states[id], startCount[id]))
		}
	}
	d.printf("%-28s %8d  %v", "tasks: replies to callers", len(states), byState)
	d.printf("%-28s %8d", "tasks: starts at workers", total)
	return out
}

// checkDataCentre returns the executions that started in the first data centre while it was out of service.
func (d *demo) checkDataCentre(starts []berylprocess.Start) []string {
	var out []string
	elsewhere := 0
	for _, s := range starts {
		if s.Time.Before(d.outFrom) || s.Time.After(d.outTo) {
			continue
		}
		if s.Worker.DataCentre != d.u.DataCentres[0] {
			elsewhere++
			continue
		}
		out = append(out, fmt.Sprintf("%s started in %s while it was out", s.RequestID, s.Worker.DataCentre))
	}
	d.printf("%-28s %8d  (in other data centres: %d)", "starts in "+d.u.DataCentres[0]+" while out", len(out), elsewhere)
	return out
}
