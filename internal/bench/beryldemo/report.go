package beryldemo

import (
	"context"
	"fmt"
	"slices"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
)

// report prints what callers were told beside what the workers saw, and fails if they disagree.
func (d *demo) report(ctx context.Context, replies map[string]berylprocess.Reply, states map[string]string) error {
	starts, err := d.fleet.Starts(ctx)
	if err != nil {
		return err
	}
	s := berylprocess.Compare(replies, starts)
	d.say("%-28s %8s", "requests: told to callers", "count")
	d.say("%-28s %8d", "  answered", s.Answered)
	d.say("%-28s %8d  %v", "  refused, not run", s.NotRun, s.Reasons)
	d.say("%-28s %8d", "  refused, unknown", s.Unknown)
	d.say("%-28s %8d", "  connection broke", s.NoAnswer)
	d.say("%-28s %8d", "requests: seen by workers", s.Starts)
	violations := slices.Concat(s.Violations, d.judgeTasks(states, starts), d.judgeDataCentre(starts))
	if len(violations) > 0 {
		return &ContradictionError{User: d.u.Name, Violations: violations}
	}
	d.say("callers and workers agree")
	return nil
}

// judgeTasks requires one start for each finished task and at most one for any other.
func (d *demo) judgeTasks(states map[string]string, starts []berylprocess.Start) []string {
	count := map[string]int{}
	for _, s := range starts {
		count[s.ID]++
	}
	byState := map[string]int{}
	seen := 0
	var out []string
	for _, id := range d.tasks {
		byState[states[id]]++
		seen += count[id]
		if count[id] > 1 || (states[id] == "done" && count[id] == 0) {
			out = append(out, fmt.Sprintf("task %s is %s and was started %d times", id, states[id], count[id]))
		}
	}
	d.say("%-28s %8d  %v", "tasks: told to callers", len(states), byState)
	d.say("%-28s %8d", "tasks: seen by workers", seen)
	return out
}

// judgeDataCentre requires that nothing started in the data centre while it was out.
func (d *demo) judgeDataCentre(starts []berylprocess.Start) []string {
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
	d.say("%-28s %8d  (elsewhere meanwhile: %d)", "starts in "+d.u.DataCentres[0]+" while out", len(out), elsewhere)
	return out
}
