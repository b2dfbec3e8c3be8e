package berylshare

import (
	"cmp"
	"math"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// Account is what one account asks for.
type Account struct {
	// Weight is the account's part of a full capacity, relative to the other accounts; it must be positive.
	Weight float64
	// Demand is what the account uses and waits for.
	Demand beryllatch.Resources
}

// resources is the number of kinds of resources.
const resources = 3

// vector is an amount of each resource as a part of the capacity.
type vector [resources]float64

// Dominant returns the largest part of the capacity that the amount takes in any resource; it is 0 for resources without capacity.
func Dominant(amount, capacity beryllatch.Resources) float64 {
	return parts(amount, capacity).dominant()
}

func parts(amount, capacity beryllatch.Resources) vector {
	part := func(n, of int) float64 {
		if of <= 0 {
			return 0
		}
		return float64(n) / float64(of)
	}
	return vector{
		part(amount.CPUMilli, capacity.CPUMilli), part(amount.MemoryMB, capacity.MemoryMB), part(amount.Accelerators, capacity.Accelerators),
	}
}

func (v vector) dominant() float64 { return max(v[0], v[1], v[2]) }

// Divide returns the dominant share up to which each account is within its fair share, +Inf for accounts whose whole demand is.
// The load that it answers is a capacity that is asked for by more than it can serve: all accounts get an equal multiple of their
// weights, and what an account leaves unused goes to the others.
func Divide(capacity beryllatch.Resources, accounts []Account) []float64 {
	out := make([]float64, len(accounts))
	demands := make([]vector, len(accounts))
	total := vector{}
	order := make([]int, 0, len(accounts))
	for i, a := range accounts {
		out[i] = math.Inf(1)
		demands[i] = parts(a.Demand, capacity)
		for r, d := range demands[i] {
			total[r] += d
		}
		if demands[i].dominant() > 0 {
			order = append(order, i)
		}
	}
	if total.dominant() <= 1 {
		return out
	}
	// ratio is the multiple of its weight at which an account's demand is met.
	ratio := func(i int) float64 { return demands[i].dominant() / accounts[i].Weight }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ratio(a), ratio(b)) })
	f := filling{accounts: accounts, demands: demands}
	for r := range f.left {
		f.left[r] = 1
	}
	f.add(order)
	for len(order) > 0 {
		next := ratio(order[0])
		full := f.raise(next)
		if full < 0 {
			f.remove(order[0])
			order = order[1:]
			continue
		}
		growing := len(order)
		order = slices.DeleteFunc(order, func(i int) bool {
			if demands[i][full] == 0 {
				return false
			}
			out[i] = f.level * accounts[i].Weight
			f.remove(i)
			return true
		})
		if len(order) == growing {
			// Rounding has left a rate for a resource that no growing account uses.
			f.rate[full] = 0
		}
	}
	return out
}

// filling raises the level of all growing accounts, as a multiple of their weights, until a resource is full.
type filling struct {
	accounts []Account
	demands  []vector
	level    float64
	// left is what remains of each resource, rate what the growing accounts take of it for each unit of the level.
	left, rate vector
}

func (f *filling) add(order []int) {
	for _, i := range order {
		for r := range f.rate {
			f.rate[r] += f.slope(i, r)
		}
	}
}

func (f *filling) remove(i int) {
	for r := range f.rate {
		f.rate[r] = max(f.rate[r]-f.slope(i, r), 0)
	}
}

// slope returns what the account takes of a resource for each unit of the level.
func (f *filling) slope(i, r int) float64 {
	return f.accounts[i].Weight * f.demands[i][r] / f.demands[i].dominant()
}

// raise raises the level to the given one and returns -1, or to where the first resource is full and returns that resource.
func (f *filling) raise(to float64) int {
	full, at := -1, to
	for r := range f.left {
		if f.rate[r] <= 0 {
			continue
		}
		if l := f.level + max(f.left[r], 0)/f.rate[r]; l < at {
			full, at = r, l
		}
	}
	for r := range f.left {
		f.left[r] -= (at - f.level) * f.rate[r]
	}
	f.level = at
	return full
}
