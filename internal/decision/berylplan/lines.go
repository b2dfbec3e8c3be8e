package berylplan

import (
	"fmt"
	"strings"

	"github.com/beryllatch/beryllatch"
)

// Lines returns the configuration as text, with one line for each object, in a stable order.
func Lines(c beryllatch.Config) []string {
	out := []string{fmt.Sprintf("version %d", c.Version)}
	add := func(format string, args ...any) {
		out = append(out, strings.TrimRight(fmt.Sprintf(format, args...), " "))
	}
	if c.LoadMoves {
		out = append(out, "load_moves on")
	}
	for _, k := range beryllatch.SortedKeys(c.Teams) {
		add("team %s weight=%d ceiling=%d", k, c.Teams[k].Weight, c.Teams[k].Ceiling)
	}
	for _, k := range beryllatch.SortedKeys(c.Services) {
		add("service %s max_unavailable=%d", k, c.Services[k].MaxUnavailable)
	}
	for _, k := range beryllatch.SortedKeys(c.Pools) {
		p := c.Pools[k]
		add("pool %s service=%s%s%s%s", k, p.Service, flagField("spare", p.Spare), numberField("min_size", p.MinSize),
			numberField("standing_loan", p.StandingLoan))
	}
	for _, k := range beryllatch.SortedKeys(c.Queues) {
		q := c.Queues[k]
		add("queue %s pool=%s%s%s%s%s", k, q.Pool, textField("team", q.Team), flagField("open", q.Open),
			numberField("deadline_ms", q.DeadlineMS), numberField("max_queued", q.MaxQueued))
	}
	for _, k := range beryllatch.SortedKeys(c.APIKeys) {
		add("key %s team=%s%s", k, c.APIKeys[k].Team, flagField("withdrawn", c.APIKeys[k].Withdrawn))
	}
	for _, k := range beryllatch.SortedKeys(c.DataCentres) {
		add("data_centre %s%s%s", k, textField("region", c.DataCentres[k].Region), flagField("out", c.DataCentres[k].Out))
	}
	for _, k := range beryllatch.SortedKeys(c.Instances) {
		i := c.Instances[k]
		add("instance %s pool=%s%s dc=%s rack=%s %s%s%s%s", k, i.Pool, textField("home", i.Home), i.DataCentre, i.Rack, i.State,
			textField("move_to", i.MoveTo), textField("boot", i.BootID), textField("wave", i.Wave))
	}
	for _, k := range beryllatch.SortedKeys(c.Waves) {
		w := c.Waves[k]
		add("wave %s %s services=%s%s%s", k, w.State, strings.Join(w.Services, ","), textField("reason", w.Reason),
			textField("done", strings.Join(w.Done, ",")))
	}
	for _, o := range c.Operations {
		add("operation %s operator=%s version=%d%s", o.ID, o.Operator, o.Version, textField("refused", o.Refused))
	}
	return out
}

// DiffLines returns the lines that differ between two configurations; removed lines begin with - and added ones with +.
func DiffLines(before, after beryllatch.Config) []string {
	old, now := Lines(before), Lines(after)
	return append(missingLines("- ", old, now), missingLines("+ ", now, old)...)
}

// missingLines returns the lines that are not in the other list, each with the prefix.
func missingLines(prefix string, lines, other []string) []string {
	inOther := make(map[string]bool, len(other))
	for _, l := range other {
		inOther[l] = true
	}
	var out []string
	for _, l := range lines {
		if !inOther[l] {
			out = append(out, prefix+l)
		}
	}
	return out
}

// textField returns " name=value", or nothing if the value is empty.
func textField(name, value string) string {
	if value == "" {
		return ""
	}
	return " " + name + "=" + value
}

// numberField returns " name=n", or nothing if n is 0.
func numberField(name string, n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" %s=%d", name, n)
}

// flagField returns " name" if the flag is set, else nothing.
func flagField(name string, set bool) string {
	if !set {
		return ""
	}
	return " " + name
}
