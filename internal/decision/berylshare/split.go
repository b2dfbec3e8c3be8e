package berylshare

import (
	"maps"
	"slices"
)

// Level limits all amounts to a common maximum, chosen so that their sum is at most the capacity. If the division leaves a
// remainder, the first names in ascending order get one unit more. Lowering one amount never lowers another one's result.
func Level(capacity int, amounts map[string]int) map[string]int {
	names := slices.Sorted(maps.Keys(amounts))
	out := make(map[string]int, len(names))
	left := max(0, capacity)
	for below := belowAmount(names, amounts, out); len(below) > 0 && left > 0; below = belowAmount(below, amounts, out) {
		step := left / len(below)
		if step == 0 {
			for _, name := range below[:left] {
				out[name]++
			}
			return out
		}
		for _, name := range below {
			step = min(step, amounts[name]-out[name])
		}
		for _, name := range below {
			out[name] += step
			left -= step
		}
	}
	return out
}

// belowAmount returns the names whose result is below their amount.
func belowAmount(names []string, amounts, out map[string]int) []string {
	var below []string
	for _, name := range names {
		if out[name] < amounts[name] {
			below = append(below, name)
		}
	}
	return below
}

// Split divides the whole capacity among the nodes: it first meets the demands as far as Level does, and then divides the
// rest evenly.
func Split(capacity int, demand map[string]int) map[string]int {
	out := Level(capacity, demand)
	names := slices.Sorted(maps.Keys(demand))
	if len(names) == 0 {
		return out
	}
	rest := max(0, capacity)
	for _, n := range out {
		rest -= n
	}
	for i, name := range names {
		out[name] += rest / len(names)
		if i < rest%len(names) {
			out[name]++
		}
	}
	return out
}
