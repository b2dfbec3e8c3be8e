package berylshare

import (
	"cmp"
	"slices"
)

// Claim describes how much of the capacity a team may have and can use.
type Claim struct {
	Name string
	// Weight is the team's weight relative to the other claims; a value below 1 counts as 1.
	Weight int
	// Ceiling is the maximum amount that the team may have.
	Ceiling int
	// Demand is the amount that the team can use now.
	Demand int
}

// limit returns the maximum amount that the claim can get.
func (c Claim) limit() float64 { return float64(max(0, min(c.Ceiling, c.Demand))) }

func (c Claim) weight() float64 { return float64(max(1, c.Weight)) }

// MaxMin returns the weighted max-min fair share of each claim by name: a share below its claim's limit can grow only if
// another share shrinks that is not larger in relation to its weight.
func MaxMin(capacity int, claims []Claim) map[string]float64 {
	order := slices.SortedFunc(slices.Values(claims), func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.limit()/a.weight(), b.limit()/b.weight()), cmp.Compare(a.Name, b.Name))
	})
	left, weights := float64(max(0, capacity)), 0.0
	for _, c := range order {
		weights += c.weight()
	}
	shares := make(map[string]float64, len(claims))
	for _, c := range order {
		share := min(c.limit(), left*c.weight()/weights)
		shares[c.Name] = share
		left -= share
		weights -= c.weight()
	}
	return shares
}
