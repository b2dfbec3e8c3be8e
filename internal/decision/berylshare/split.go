package berylshare

import (
	"maps"
	"slices"
)

// Level lowers the amounts to a common level so that their sum is at most the capacity; the remainder of the division
// goes to the first names in ascending order. Lowering one amount never lowers another one's result.
func Level(capacity int, amounts map[string]int) map[string]int {
	names := slices.Sorted(maps.Keys(amounts))
	out := make(map[string]int, len(names))
	left := max(0, capacity)
	for unfilled := belowAmount(names, amounts, out); len(unfilled) > 0 && left > 0; unfilled = belowAmount(unfilled, amounts, out) {
		step := left / len(unfilled)
		if step == 0 {
			for _, name := range unfilled[:left] {
				out[name]++
			}
			return out
		}
		for _, name := range unfilled {
			step = min(step, amounts[name]-out[name])
		}
		for _, name := range unfilled {
			out[name] += step
			left -= step
		}
	}
	return out
}

// belowAmount returns the names whose result is still below their amount.
func belowAmount(names []string, amounts, out map[string]int) []string {
	var open []string
	for _, name := range names {
		if out[name] < amounts[name] {
			open = append(open, name)
		}
	}
	return open
}

// Split divides the whole capacity over the nodes: first by demand up to a common level, then the rest evenly.
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
